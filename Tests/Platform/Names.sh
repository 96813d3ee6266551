#!/usr/bin/env bash
# Fails if a name of the platform's wire format occurs in the C++ files or shell
# scripts of Source, Utilities or Tests. Tests/Platform is exempt. Such names
# belong in platform/ and deploy/ and in the pages that explain them.
set -u
cd "$1" || exit 2
names='fencing-token|run-start|run-stop|heartbeat-endpoint|capacity-free|ack-cursor|until-ms|path-prefix|max-attempts|api-keys|machine-move|machine-upkeep|wave-start|wave-get|Mimosashunt-(Duty|Fencing|Expect|Deadline)|mimosashunt-(duty|fencing|expect|deadline)|MIMOSASHUNT_BOOT|\bminion'
found=$(grep -rnE "$names" Source Utilities Tests --include='*.cpp' --include='*.h' --include='*.sh' |
  grep -v '^Tests/Platform/')
[ -z "$found" ] && exit 0
echo "names of the platform's wire format outside platform/; move their translation there:"
echo "$found"
exit 1
