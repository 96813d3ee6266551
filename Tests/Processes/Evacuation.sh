#!/usr/bin/env bash
# Orders an evacuation from the real daemons. It must outlive the loss of all
# control processes, be acknowledged again when it is sent again to any control
# VM, and mistakes must be refused without a change.
set -u
bin=$1
net=$2
work=$(mktemp -d)
script_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$script_dir/../../Utilities/jobfleet.sh"
trap 'status=$?; end_jobs; [ $status -eq 0 ] || tail -n 5 "$work"/*.log; rm -rf "$work"' EXIT
# Sends the order $2 (start or finish) for data centre $1 to control VM $3, with the
# body $4 if there is one; prints the status.
order() {
  curl -s -o /dev/null -w '%{http_code}' -X POST ${4:+-d "$4"} \
    "http://127.0.$net.$3:7400/mimosashunt/evacuate/$1/$2"
}
# Repeats the order until it gets the status $4, as operators do after a 503.
await_status() {
  local n status
  for ((n = 0; n < 600; n++)); do
    status=$(order "$1" "$2" "$3")
    [ "$status" = "$4" ] && return 0
    [ "$status" = 503 ] || [ "$status" = 000 ] || fail "$2 of $1 got $status, not $4"
    sleep 0.1
  done
  fail "$2 of $1 never got $4"
}

known_data_centres='"dc-1", "dc-2", "dc-3"'
prepare_jobs 3 0
start_jobs 3 0
await_status dc-1 finish 1 409
await_status dc-9 start 2 404
[ "$(order dc-1 start 1 '{}')" = 400 ] || fail "a body is refused"
await_status dc-1 start 1 200
await_status dc-1 start 2 200
for n in 1 2 3; do
  kill_vm "control-$n"
done
first_start=false
for n in 1 2 3; do
  job_settings "control-$n" "$n" control
  start_vm "control-$n"
done
# Without the evacuation on the disks this would be refused as a conflict.
await_status dc-1 finish 3 200
await_status dc-1 finish 2 200
echo "passed"
