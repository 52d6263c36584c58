#!/bin/sh
# A request of a class with a window for repeats is reset under way, and the next connection comes up late.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
exec "$(dirname "$0")/../run-case-2.sh" "$(dirname "$0")" repeat-window
