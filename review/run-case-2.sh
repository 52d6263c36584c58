#!/bin/sh
# Runs a case of the second review: run-case-2.sh FOLDER NAME. Called by the run.sh of each case.
set -u
folder=$(cd "$1" && pwd)
CASE_ROOT=$(cd "$(dirname "$0")/.." && pwd)
CASE_RUN=$(sed -n 's/^run = "\(.*\)".*/\1/p' "$CASE_ROOT/deploy/balancer.toml")
CASE_RECORD=$folder/record.txt
CASE_TEMPORARY=$(mktemp -d) || exit 2
export CASE_ROOT CASE_RUN CASE_RECORD CASE_TEMPORARY
trap 'rm -rf "$CASE_TEMPORARY"' EXIT
program=$CASE_ROOT/review/stand-ins-2/target/release/marllink-review-2
[ -x "$program" ] || { echo "build first: review/build-2.sh" >&2; exit 2; }
"$program" "$2"
