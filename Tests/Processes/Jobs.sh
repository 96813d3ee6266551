#!/usr/bin/env bash
# Runs the real daemons of the job path with a simulated fleet of workers and
# callers that checks the guarantees from outside. The leader is killed and
# restarted, and an entry VM is stopped and restarted. Every accepted job must
# still end, and no task may end twice.
set -u
bin=$1
net=$2
work=$(mktemp -d)
script_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$script_dir/../../Utilities/jobfleet.sh"
trap 'status=$?; end_jobs; [ $status -eq 0 ] || tail -n 5 "$work"/*.log "$work"/*.out; rm -rf "$work"' EXIT
# Prints how often a control VM became leader.
count_elections() { cat "$work"/control-*.log | grep -c '"event":"leads"'; }
# Prints the name of the control VM that became leader last.
newest_leader() { cat "$work"/control-*.log | grep '"event":"leads"' | sort | tail -n 1 | sed 's/.*"vm":"\([^"]*\)".*/\1/'; }
# True after $1 elections.
has_elections() { [ "$(count_elections)" -ge "$1" ]; }
# True after $1 started runs.
has_run_starts() { [ "$(cat "$work"/control-*.log | grep -c '"event":"run_start"')" -ge "$1" ]; }

prepare_jobs 3 2
start_jobs 3 2
await "a leader is elected" has_elections 1
"$bin/Tests/Platform/mimosashunt-standin-fleet" --control="$control" --entries="$entries" \
  --worker_ip="127.0.$net.200" --workers=6 --pools=2 --jobs_per_second=6 --steps=2 --width=5 \
  --task_ms=300 --seconds=10 --settle_seconds=60 --seed=7 >"$work/fleet.out" 2>"$work/fleet.log" &
fleet=$!
pids+=($fleet)
await "work runs" has_run_starts 40
killed=$(newest_leader)
kill_vm "$killed"
first_start=false
await "another leader takes over" has_elections 2
job_settings "$killed" "${killed#control-}" control
start_vm "$killed"
kill -TERM "${pid_of[entry-1]}"
wait "${pid_of[entry-1]}" || fail "the entry VM ends with status 0 when it is told to stop"
start_vm entry-1
wait $fleet || fail "a guarantee was violated or a job did not end: $(cat "$work/fleet.out")"
jq -e '.accepted > 20 and .completed == .accepted and .open == 0 and (.broken | length) == 0' \
  "$work/fleet.out" >/dev/null || fail "the results of the fleet: $(cat "$work/fleet.out")"
echo "passed: $(cat "$work/fleet.out")"
