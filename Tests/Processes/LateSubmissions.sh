#!/usr/bin/env bash
# Guards against a job that runs although its cancellation was acknowledged: its
# submission was still on its way then, in a frozen entry VM, held up by the
# network across a change of leader, or waiting at the leader for its commit.
set -u
bin=$1
net=$2
work=$(mktemp -d)
script_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$script_dir/../../Utilities/jobfleet.sh"
trap 'status=$?; end_jobs; [ $status -eq 0 ] || tail -n 5 "$work"/*.log | cut -c 1-300; rm -rf "$work"' EXIT

job='{"spec":"text","steps":[{"count":2,"cpu":100,"mem-mb":64,"estimate-ms":100,"long-running":true}]}'
# Calls job $3 with method $2 at entry VM $1, with further arguments of curl;
# prints the status.
call() {
  local entry=$1 method=$2 id=$3
  shift 3
  curl -s -o "${output:-/dev/null}" -w "%{http_code}" -m 5 -X "$method" -H 'host: q.example' "$@" \
    "127.0.$net.$((100 + entry)):7300/q/$id"
}
submit() { call "$1" POST "$2" -d "$job" "${@:3}"; }
# Calls until the status is not one that asks for a repetition; prints it.
settled() {
  local n status
  for ((n = 0; n < 300; n++)); do
    status=$(call "$@")
    case $status in 503 | 504 | 000) sleep 0.1 ;; *) break ;; esac
  done
  echo "$status"
}
upload() {
  [ "$(curl -s -o /dev/null -w '%{http_code}' -m 5 -d @"$script_dir/../Platform/OneQueue.json" "127.0.$net.1:7400/mimosashunt/config/replace")" = 200 ]
}
accepts() { [ "$(submit "$1" "$2")" = 200 ]; }
# The name of the control VM that became leader last.
newest_leader() { cat "$work"/control-*.log | grep '"event":"leads"' | sort | tail -n 1 | sed 's/.*"vm":"\([^"]*\)".*/\1/'; }
# True if a VM of kind $1 has logged event $2 of job $3.
has_event() { cat "$work/$1"-*.log | grep "\"event\":\"$2\"" | grep -q "$3"; }
# True if the submission of job $1 was handled, whatever came of it.
is_handled() { has_event control job_submitted "$1" || has_event entry call_not_done "$1.*submit\|submit.*$1"; }
# Fails unless the cancellation of job $2 at entry VM $1 is acknowledged.
cancel() {
  local status
  status=$(settled "$1" DELETE "$2")
  [ "$status" = 200 ] || [ "$status" = 410 ] || fail "the cancellation of $2 gets $status"
}
# Fails unless job $1 is cancelled or does not exist.
expect_cancelled() {
  local status
  status=$(output="$work/state" settled 2 GET "$1")
  [ "$status" = 410 ] || jq -e '.state == "cancelled"' "$work/state" >/dev/null ||
    fail "job $1 was cancelled and lives: $status $(cat "$work/state")"
}

prepare_jobs 3 2
start_jobs 3 2
await "the configuration is accepted" upload
await "entry VM 1 accepts jobs" accepts 1 00000000000000a1
await "entry VM 2 accepts jobs" accepts 2 00000000000000a2

frozen=00000000000000b1
kill -STOP "${pid_of[entry-1]}"
submit 1 $frozen -m 0.3 >/dev/null
cancel 2 $frozen
kill -CONT "${pid_of[entry-1]}"
await "the late submission is handled" is_handled $frozen
expect_cancelled $frozen

# Both followers stand still, so that nothing commits at the leader.
waiting=00000000000000c1
leader=$(newest_leader)
for n in 1 2 3; do [ "control-$n" = "$leader" ] || kill -STOP "${pid_of[control-$n]}"; done
submit 1 $waiting -m 0.1 >/dev/null
(sleep 0.3; for n in 1 2 3; do kill -CONT "${pid_of[control-$n]}"; done) &
cancel 2 $waiting
await "the waiting submission is handled" is_handled $waiting
expect_cancelled $waiting

late=00000000000000d1
cancel 2 $late
kill_vm "$(newest_leader)"
status=$(settled 1 POST $late -d "$job")
[ "$status" = 200 ] || [ "$status" = 410 ] || fail "the late submission gets $status"
expect_cancelled $late
# Another one is not affected.
[ "$(settled 1 POST 00000000000000d2 -d "$job")" = 200 ] || fail "another job is accepted"
[ "$(settled 2 GET 00000000000000d2)" = 200 ] || fail "another job lives"
echo "passed"
