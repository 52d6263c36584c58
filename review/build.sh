#!/bin/sh
# Builds every stand-in that the cases start.
set -e
cd "$(dirname "$0")/.."
cargo build --release --manifest-path review/Cargo.toml --target-dir target/review
