#!/usr/bin/env bash
# Case 15; claim.txt tells what it shows. Ends with 1 if the rule was broken, 0
# if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
. "$(dirname "$0")/../common-3.sh"
run_scenario pending
