#!/usr/bin/env bash
# Sends worker reports with addresses that nothing can be sent to, to each of
# three schedulers, and starts a scheduler that has stored such a worker. No
# process may end, and the leader must go on to answer.
set -u
bin=$1
net=$2
work=$(mktemp -d)
script_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$script_dir/../../Utilities/jobfleet.sh"
trap 'status=$?; end_jobs; [ $status -eq 0 ] || tail -n 5 "$work"/*.log; rm -rf "$work"' EXIT
# Reports worker $1 with the address $2 to control VM $3; prints the status.
report() {
  curl -s -o /dev/null -w '%{http_code}' -X POST \
    -d "{\"service\":\"s1\",\"address\":\"$2\",\"state\":\"ready\",\"sequence\":1}" \
    "http://127.0.$net.$3:7400/mimosashunt/instances/$1/heartbeat"
}
# Reports a usable worker to control VM $1 until it is acknowledged.
await_report() {
  local n
  for ((n = 0; n < 600; n++)); do
    [ "$(report i-good "127.0.$net.200:8080" "$1")" = 200 ] && return 0
    sleep 0.1
  done
  fail "control VM $1 never took a report"
}
# Fails unless the process of VM $1 runs.
expect_alive() { kill -0 "${pid_of[$1]}" 2>/dev/null || fail "$1 ended: $(tail -n 2 "$work/$1.log")"; }

prepare_jobs 4 0
start_jobs 3 0
for n in 1 2 3; do await_report $n; done
for round in {1..10}; do
  for address in "127.0.$net.200:99999" "127.0.$net.200" "127.0.$net.200:0" worker.example:80; do
    for n in 1 2 3; do
      status=$(report "i-odd-$round" "$address" $n)
      [ "$status" = 400 ] || fail "the address $address got $status"
    done
  done
  sleep 0.3
done
for n in 1 2 3; do
  expect_alive "control-$n"
  await_report $n
done
curl -s "http://127.0.$net.1:9464/" | grep -q 'mimosashunt_input_rejected{source="control_call"} 40' ||
  fail "the refused reports are not counted"

# Alone, since a member of another group would take it in.
for n in 1 2 3; do
  kill_vm "control-$n"
done
first_start=false
job_settings control-4 4 control
"$bin/Tests/Processes/mimosashunt-test-stored-worker" --folder="$work/disk-control-4" --vm=control-4 \
  --internal="127.0.$net.4:7500" --worker_address="127.0.$net.200:99999" || fail "the folder was not written"
start_vm control-4
await_report 4
for ((n = 0; n < 600; n++)); do
  grep -q '"source":"stored_state"' "$work/control-4.log" && break
  sleep 0.1
done
[ $n -lt 600 ] || fail "the stored worker is not reported"
expect_alive control-4
await_report 4
echo "passed"
