#!/bin/sh
# Builds every stand-in that the cases start, with the versions of the project's own lock file.
set -e
cd "$(dirname "$0")/.."
cp Cargo.lock review/Cargo.lock
cargo build --release --manifest-path review/Cargo.toml --target-dir target/review
