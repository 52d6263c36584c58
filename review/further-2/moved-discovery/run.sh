#!/bin/sh
# A balancer with a store is started again with another discovery service.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
exec "$(dirname "$0")/../../run-case-2.sh" "$(dirname "$0")" moved-discovery
