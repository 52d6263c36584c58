#!/bin/sh
# Builds the stand-ins of the second review's cases, with the versions of the project's lock file.
set -eu
cd "$(dirname "$0")/stand-ins-2"
unset CARGO_TARGET_DIR
cargo build --release --locked
