#!/bin/sh
# Runs the program of one case: `run-case.sh PROGRAM`, with the record's path in RECORD. All other files go to a
# temporary folder. The program ends after 115 s at the latest, and ends what it started; whatever is left then,
# or when this script is told to end, is ended here by its id.
ROOT=$(cd "$(dirname "$0")/.." && pwd)
WORK=$(mktemp -d) || exit 2
export ROOT WORK RECORD TROUBLE
program="$ROOT/target/review/release/$1"
if [ ! -x "$program" ] || [ ! -x "$ROOT/target/release/marllink" ]; then
    echo "not built: run the build of the deploy file and review/build.sh" >"$RECORD"
    rm -rf "$WORK"
    exit 2
fi

clean_up() {
    kill -9 "$running" 2>/dev/null
    for pid in $(cat "$WORK/pids" 2>/dev/null); do
        # Only processes of this run, whose environment names its folder.
        if grep -qs "$WORK" "/proc/$pid/environ"; then
            kill -9 "$pid" 2>/dev/null
        fi
    done
    rm -rf "$WORK"
}

"$program" &
running=$!
trap 'clean_up; exit 2' INT TERM HUP
wait "$running"
code=$?
case $code in 0 | 1 | 2) ;; *) code=2 ;; esac
tail -n 3 "$RECORD"
clean_up
exit $code
