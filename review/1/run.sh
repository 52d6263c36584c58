#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. What was sent, answered and run is written to record.txt in this folder.
here=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1}
RECORD="$here/record.txt"
export TROUBLE RECORD
exec "$here/../run-case.sh" session_lost
