#!/bin/sh
# Runs one case: `run-case.sh FOLDER PROGRAM`. The record goes to the case's folder, all other files to a
# temporary folder. The program ends after 115 s at the latest, and with it every process that it started.
folder=$(cd "$1" && pwd)
ROOT=$(cd "$(dirname "$0")/.." && pwd)
WORK=$(mktemp -d) || exit 2
RECORD="$folder/record.txt"
export ROOT WORK RECORD
program="$ROOT/target/review/release/$2"
if [ ! -x "$program" ] || [ ! -x "$ROOT/target/release/marllink" ]; then
    echo "not built: run the build of the deploy file and review/build.sh" >"$RECORD"
    rm -rf "$WORK"
    exit 2
fi
"$program"
code=$?
case $code in 0 | 1 | 2) ;; *) code=2 ;; esac
tail -n 3 "$RECORD"
[ -n "$KEEP" ] && cp -r "$WORK" "$KEEP"
rm -rf "$WORK"
exit $code
