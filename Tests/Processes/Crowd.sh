#!/usr/bin/env bash
# Holds a crowd of clients that do not behave against one listener of the job
# path's daemons. No process may end or exceed its memory or its descriptors, and
# an ordinary job must be accepted beside the crowd and after it. An entry VM must
# also stop beside its crowd. Arguments: build folder, third octet of the IP
# addresses, listener (callers, control or follower), whether to check memory, flags of the
# crowd.
set -u
bin=$1
net=$2
listener=$3
checks_memory=$4
shift 4
work=$(mktemp -d)
script_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$script_dir/../../Utilities/jobfleet.sh"
. "$script_dir/crowd-common.sh"
trap 'status=$?; end_jobs; [ $status -eq 0 ] || tail -n 5 "$work"/*.log; rm -rf "$work"' EXIT

callers="127.0.$net.101:7300"
configuration="$script_dir/../Platform/OneQueue.json"
# The queue's path is where callers' requests go, a worker's where control's go.
declare -A path=([callers]=/q/00000000000000ff [control]=/mimosashunt/instances/i-1/heartbeat
  [follower]=/mimosashunt/config/replace)
jobs=0

# Sets $leader to the number of the control VM that leads, and $operators to its
# address, or fails.
find_leader() {
  leader=$(grep -l '"event":"leads"' "$work"/control-*.log | sed 's/.*control-\([0-9]*\).log/\1/')
  operators="127.0.$net.$leader:7400"
  [ -n "$leader" ]
}
upload() { [ "$(curl -s -o /dev/null -w '%{http_code}' -m 5 -d @"$configuration" "$operators/mimosashunt/config/replace")" = 200 ]; }
# True if an ordinary job is accepted.
job_accepted() {
  jobs=$((jobs + 1))
  [ "$(curl -s -o /dev/null -w '%{http_code}' -m 5 -H 'host: q.example' \
    -d '{"spec":"text","steps":[{"count":1,"cpu":100,"mem-mb":64,"estimate-ms":100}]}' \
    "$callers/q/$(printf '%016x' $jobs)")" = 200 ]
}
# True if an operator reads the configuration.
configuration_read() { [ "$(curl -s -o /dev/null -w '%{http_code}' -m 5 "$operators/mimosashunt/config/get")" = 200 ]; }
# True if the gateway's readiness probe and the metrics of both are answered.
probes_answered() {
  curl -s -f -o /dev/null -m 5 "127.0.$net.101:7301/mimosashunt/ready" &&
    curl -s -f -o /dev/null -m 5 "127.0.$net.101:9464/metrics" &&
    curl -s -f -o /dev/null -m 5 "127.0.$net.$leader:9464/metrics"
}
expect_all_within_limits() {
  expect_within_limits "${pid_of[entry-1]}" entry-1 $callers
  local n
  for n in 1 2 3; do
    expect_within_limits "${pid_of[control-$n]}" control-$n "127.0.$net.$n:7400"
  done
}

prepare_jobs 3 1
for vm in control-{1,2,3} entry-1; do
  jq --argjson mb $memory_mb '.memoryMb = $mb' "$work/$vm.json" >"$work/$vm.tmp" && mv "$work/$vm.tmp" "$work/$vm.json"
done
ulimit -S -n $max_descriptors
start_jobs 3 1
ulimit -S -n "$(ulimit -H -n)"
await "a leader is elected" find_leader
await "the configuration is accepted" upload
await "a job is accepted in calm" job_accepted
expect_all_within_limits

declare -A address=([callers]=$callers [control]=$operators [follower]="127.0.$net.$((leader % 3 + 1)):7400")
start_crowd "${address[$listener]}" --path="${path[$listener]}" --body_file="$configuration" "$@"
watch_crowd
await "a job is accepted beside the crowd" job_accepted
await "the configuration is read beside the crowd" configuration_read
await "probes and metrics are answered beside the crowd" probes_answered
expect_all_within_limits
if [ "$listener" = callers ]; then
  kill -TERM "${pid_of[entry-1]}"
  wait "${pid_of[entry-1]}" || fail "the entry VM does not end with status 0 beside the crowd"
  ulimit -S -n $max_descriptors
  start_vm entry-1
  ulimit -S -n "$(ulimit -H -n)"
fi
end_crowd
await "a job is accepted after the crowd" job_accepted
await "the configuration is read after the crowd" configuration_read
expect_all_within_limits
echo "passed: ${held:-unmeasured} bytes held by the last process checked"
