#!/usr/bin/env bash
# Fails if a name of the platform's wire stands outside platform/, deploy/, the
# translation's own tests and the pages that explain it.
set -u
cd "$1" || exit 2
names='fencing-token|run-start|run-stop|heartbeat-endpoint|capacity-free|ack-cursor|until-ms|path-prefix|max-attempts|api-keys|machine-move|machine-upkeep|wave-start|wave-get|Mimosashunt-(Duty|Fencing|Expect|Deadline)|mimosashunt-(duty|fencing|expect|deadline)|MIMOSASHUNT_BOOT|\bminion'
found=$(grep -rnE "$names" Source Utilities Tests --include='*.cpp' --include='*.h' --include='*.sh' |
  grep -v '^Tests/Platform/')
[ -z "$found" ] && exit 0
echo "names of the platform outside platform/; translate them there instead:"
echo "$found"
exit 1
