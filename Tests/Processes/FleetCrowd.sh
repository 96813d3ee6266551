#!/usr/bin/env bash
# Holds a crowd of clients that do not behave against mimosashunt-entry or
# mimosashunt-control. No process may end or exceed its memory or its
# descriptors, and a caller and an operator must be answered beside the crowd and
# after it. Arguments: build folder, first port, listener (callers or operators),
# whether to check memory, flags of the crowd.
listener=$3
checks_memory=$4
crowd_flags=("${@:5}")
. "$(dirname "$0")/common.sh"
. "$script_dir/crowd-common.sh"
# What both daemons are designed for.
memory_mb=128

callers_address="127.0.0.1:$((port + 1))"
operators_address="127.0.0.1:$((port + 61))"
declare -A address=([callers]=$callers_address [operators]=$operators_address)
declare -A path=([callers]=/v1/queues/timetable/x [operators]=/v1/fleet)

caller_answered() { [ "$(curl -s -o /dev/null -w '%{http_code}' -m 5 -d x "$callers_address/v1/queues/timetable/x")" = 200 ]; }
operator_answered() { timeout 10 "$bin/Source/Ctl/mimosashuntctl" --control="$admin" --key_file="$work/operator.key" show fleet; }
peers_answered() { curl -s -f -o /dev/null -m 5 "127.0.0.1:$((port + 21))/healthz"; }
expect_all_within_limits() {
  expect_within_limits "${pid_of[entry-1]}" entry-1 $callers_address
  expect_within_limits "${pid_of[control-1]}" control-1 $operators_address
}

ulimit -S -n $max_descriptors
start_all 1 1 1
ulimit -S -n "$(ulimit -H -n)"
await "a caller is answered in calm" caller_answered
expect_all_within_limits
start_crowd "${address[$listener]}" --path="${path[$listener]}" "${crowd_flags[@]}"
watch_crowd
await "a caller is answered beside the crowd" caller_answered
await "an operator is answered beside the crowd" operator_answered
await "entry VMs and backend servers are answered beside the crowd" peers_answered
expect_all_within_limits
end_crowd
await "a caller is answered after the crowd" caller_answered
await "an operator is answered after the crowd" operator_answered
expect_all_within_limits
echo "passed: ${held:-unmeasured} bytes held by the last process checked"
