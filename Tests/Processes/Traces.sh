#!/usr/bin/env bash
# The trace context is propagated on every hop: each program writes a span whose
# parent is a span of the program that called it.
. "$(dirname "$0")/common.sh"
start_all 2 3 2
load --queue=book-lesson --key_file="$work/team.key" --count=2000 --concurrency=4 --ids \
  --trace_file="$work/trace.jsonl" --trace_every=20 >"$work/load.json" || fail "load"
ctl wave announce mend vm-1 >/dev/null || fail "wave"

# True if a span named $2 of program $1 is the child of a span named $4 of
# program $3.
has_hop() {
  jq -es --arg to "$1" --arg named "$2" --arg from "$3" --arg calling "$4" \
    '[.[] | select((.process | startswith($from)) and .name == $calling) | .span] as $callers
     | any(.[]; (.process | startswith($to)) and .name == $named and
                (.parent as $parent | $parent != null and ($callers | index($parent) != null)))' \
    "$work/trace.jsonl"
}
await "load to entry" has_hop entry entry.receive load load.request
await "entry to entry" has_hop entry entry.forwarded entry entry.forward
await "entry to backend server" has_hop backend backend.run entry entry.dispatch
await "entry to control" has_hop control control.sync entry entry.sync
await "command line to control" has_hop control control.admin ctl ctl.attempt
await "control to control" has_hop control control.replicate control control.send
await "control to platform" has_hop platform platform.request control control.orderPlatform
await "backend server to entry" has_hop entry entry.announced backend backend.announce
await "backend server to platform" has_hop platform platform.request backend backend.tellPlatform
