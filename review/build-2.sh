#!/bin/sh
# Builds the stand-ins of the second review's cases, with the versions of the project's lock file. It needs no library
# that the deploy file's build has not fetched, and so no network after that.
set -eu
cd "$(dirname "$0")/stand-ins-2"
unset CARGO_TARGET_DIR
cp ../../Cargo.lock Cargo.lock
cargo build --release --offline || cargo build --release
