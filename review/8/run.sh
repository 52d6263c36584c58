#!/bin/sh
# Half of the servers are restarted one by one while clients are away; then they resume at another balancer.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
exec "$(dirname "$0")/../run-case-2.sh" "$(dirname "$0")" rolling-restart
