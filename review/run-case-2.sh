#!/bin/sh
# Runs a case of the second review: run-case-2.sh FOLDER NAME. Called by the run.sh of each case. All files but the
# record go to a temporary folder. The program ends after 112 s at the latest, and ends what it started; when this
# script is told to end, it ends them itself, by their ids.
set -u
folder=$(cd "$1" && pwd)
CASE_ROOT=$(cd "$(dirname "$0")/.." && pwd)
CASE_RUN=$(sed -n 's/^run = "\(.*\)".*/\1/p' "$CASE_ROOT/deploy/balancer.toml")
CASE_RECORD=$folder/record.txt
program=$CASE_ROOT/review/stand-ins-2/target/release/marllink-review-2
if [ ! -x "$program" ] || [ ! -x "$CASE_ROOT/target/release/marllink" ]; then
    echo "not built: run the build of the deploy file and review/build-2.sh" | tee "$CASE_RECORD" >&2
    exit 2
fi
CASE_TEMPORARY=$(mktemp -d) || exit 2
export CASE_ROOT CASE_RUN CASE_RECORD CASE_TEMPORARY

clean_up() {
    kill -9 "$running" 2>/dev/null
    for pid in $(cat "$CASE_TEMPORARY/pids" 2>/dev/null); do
        # Only processes of this run, whose environment names its folder.
        if grep -qs "$CASE_TEMPORARY" "/proc/$pid/environ"; then
            kill -9 "$pid" 2>/dev/null
        fi
    done
    rm -rf "$CASE_TEMPORARY"
}

"$program" "$2" >/dev/null &
running=$!
trap 'clean_up; exit 2' INT TERM HUP
wait "$running"
code=$?
case $code in 0 | 1 | 2) ;; *) code=2 ;; esac
tail -n 2 "$CASE_RECORD"
clean_up
exit $code
