#!/usr/bin/env bash
# Real daemons of the job path under a stand-in fleet that checks the promises
# from outside: the leader is killed and starts again, an entry VM is stopped
# and starts again, and every accepted job still ends, none of its tasks twice.
set -u
bin=$1
net=$2
work=$(mktemp -d)
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$here/../../Utilities/jobfleet.sh"
trap 'status=$?; end_jobs; [ $status -eq 0 ] || tail -n 5 "$work"/*.log "$work"/*.out; rm -rf "$work"' EXIT
fail() { echo "FAILED: $1"; exit 1; }
# Waits for a state; the ceiling of 60 s is never asserted.
await() {
  local n what=$1
  shift
  for ((n = 0; n < 600; n++)); do
    "$@" && return 0
    sleep 0.1
  done
  fail "$what"
}
leaders() { cat "$work"/control-*.log | grep -c '"event":"leads"'; }
newest_leader() { cat "$work"/control-*.log | grep '"event":"leads"' | sort | tail -n 1 | sed 's/.*"vm":"\([^"]*\)".*/\1/'; }
has_led() { [ "$(leaders)" -ge "$1" ]; }
starts_seen() { [ "$(cat "$work"/control-*.log | grep -c '"event":"run_start"')" -ge "$1" ]; }

prepare_jobs 3 2
start_jobs 3 2
await "a leader is found" has_led 1
"$bin/Tests/Platform/mimosashunt-standin-fleet" --control="$control" --entries="$entries" \
  --worker_ip="127.0.$net.200" --workers=6 --pools=2 --jobs_per_second=6 --steps=2 --width=5 \
  --task_ms=300 --seconds=10 --settle_seconds=60 --seed=7 >"$work/fleet.out" 2>"$work/fleet.log" &
fleet=$!
pids+=($fleet)
await "work runs" starts_seen 40
killed=$(newest_leader)
kill -KILL "${pid_of[$killed]}"
first_start=false
await "another leader takes over" has_led 2
job_settings "$killed" "${killed#control-}" control
start_vm "$killed"
kill -TERM "${pid_of[entry-1]}"
wait "${pid_of[entry-1]}" || fail "the entry VM ends with status 0 when it is told to stop"
start_vm entry-1
wait $fleet || fail "a promise was broken or a job did not end: $(cat "$work/fleet.out")"
jq -e '.accepted > 20 and .completed == .accepted and .open == 0 and (.broken | length) == 0' \
  "$work/fleet.out" >/dev/null || fail "what the fleet saw: $(cat "$work/fleet.out")"
echo "held: $(cat "$work/fleet.out")"
