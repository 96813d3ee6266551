#!/usr/bin/env bash
# Replaces control VMs for good under load: three times the newest, then each of
# the others. A new one starts with settings that still name the lost one; all
# settings follow 2 and 3 s later. The configuration changes meanwhile. At the end
# all processes are killed, entry VMs too, right after a change was acknowledged
# and the newest member got its vote, and one disk is lost. Guards against a group
# without a leader, accepted work that never ends, and a configuration that comes
# back older, is not served or was refused.
set -u
bin=$1
net=$2
work=$(mktemp -d)
script_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$script_dir/../../Utilities/jobfleet.sh"
trap 'status=$?; end_jobs; [ $status -eq 0 ] || tail -n 5 "$work"/*.log "$work"/*.out; rm -rf "$work"' EXIT

# The numbers of the control VMs that are replaced, by their place in ${present[@]}.
turns=(0 0 0 1 2 0)
# The numbers of the control VMs that are there.
present=(1 2 3)
doomed=()
# Sends the configuration in file $2 to control VM $1; prints the status.
upload() {
  curl -s -m 2 -o /dev/null -w '%{http_code}' -X POST --data-binary "@$2" \
    "http://127.0.$net.$1:7400/mimosashunt/config/replace"
}
# Prints the configuration that control VM $1 reads back, if it answers.
read_configuration() { curl -sf -m 2 "http://127.0.$net.$1:7400/mimosashunt/config/get"; }
# Stores the configuration that some control VM reads back in current.json.
store_current() {
  local n
  for n in "${present[@]}"; do
    read_configuration "$n" >"$work/current.json" && [ -s "$work/current.json" ] && return 0
  done
  return 1
}
# True once one of the control VMs has acknowledged the configuration in file $1.
is_accepted() {
  local n
  for n in "${present[@]}"; do [ "$(upload "$n" "$1")" = 200 ] && return 0; done
  return 1
}
# True once a control VM has refused the configuration in file $1 as invalid; ends
# the test if one accepts it.
is_refused() {
  local n status
  for n in "${present[@]}"; do
    status=$(upload "$n" "$1")
    [ "$status" != 200 ] || fail "control VM $n accepted an invalid configuration"
    [ "$status" = 400 ] && return 0
  done
  return 1
}
# Changes the configuration to version $1 with the jq arguments that follow.
change_configuration() {
  await "version $1 can be made" store_current
  jq --argjson version "$1" '.version = $version' "$work/current.json" | jq "${@:2}" >"$work/next.json"
  await "version $1 is accepted" is_accepted "$work/next.json"
  echo "$1" >"$work/acknowledged.new"
  mv "$work/acknowledged.new" "$work/acknowledged"
}
# True if each control VM reads back version $1.
is_read_back() {
  local n
  for n in "${present[@]}"; do
    read_configuration "$n" | jq -e ".version == $1" >/dev/null || return 1
  done
}
# Reads the configuration from every control VM that ever was and reports each
# version that is older than one acknowledged before the read, or that was refused.
watch_versions() {
  local n acknowledged version
  while sleep 0.05; do
    for ((n = 1; n <= 3 + ${#turns[@]}; n++)); do
      acknowledged=$(cat "$work/acknowledged")
      version=$(read_configuration "$n" | jq .version 2>/dev/null)
      [ -z "$version" ] && continue
      [ "$version" -ge "$acknowledged" ] || echo "control VM $n: version $version after $acknowledged"
      [ "$version" -lt 1000 ] || echo "control VM $n: version $version was refused"
    done
  done
}
# Writes the settings of all VMs; their seeds are the control VMs but for $1.
write_settings() {
  local n
  seeds=""
  for n in "${present[@]}"; do [ "$n" = "${1:-}" ] || seeds+="${seeds:+,}\"127.0.$net.$n:7400\""; done
  for n in "${present[@]}"; do job_settings "control-$n" "$n" control; done
  for n in 1 2; do job_settings "entry-$n" $((100 + n)) entry; done
}
# True once control VM $1 has a vote: it began as a learner and logs the change.
has_vote() { grep -q '"event":"role"' "$work/control-$1.log"; }
# True if entry VM $1 answers $2 to a call for a job that nobody submitted in the
# added queue: 410 if it serves the queue, 404 if it does not.
answers_added() {
  [ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' "http://127.0.$net.$((100 + $1)):7300/added/0000000000000001")" = "$2" ]
}

prepare_jobs 3 2
all_control=$(seq -f "127.0.$net.%g:7400" -s , 1 $((3 + ${#turns[@]})))
start_jobs 3 2
first_start=false
"$bin/Tests/Platform/mimosashunt-standin-fleet" --control="$all_control" --entries="$entries" \
  --worker_ip="127.0.$net.200" --workers=8 --pools=2 --jobs_per_second=8 --steps=2 --width=4 \
  --task_ms=300 --seconds=50 --settle_seconds=90 --seed=45 >"$work/fleet.out" 2>"$work/fleet.log" &
fleet=$!
await "the first configuration is read back" is_read_back 1
echo 1 >"$work/acknowledged"
watch_versions >"$work/wrong.out" &
watcher=$!
pids+=($fleet $watcher)
change_configuration 2 -f "$script_dir/../Platform/AddedQueue.jq"
for n in 1 2; do await "entry VM $n serves the added queue" answers_added $n 410; done

version=2
next=4
for turn in "${turns[@]}"; do
  old=${present[$turn]}
  kill_vm "control-$old"
  rm -r "$work/disk-control-$old"
  sleep 1
  present[turn]=$next
  job_settings "control-$next" $next control
  start_vm "control-$next"
  version=$((version + 1))
  change_configuration $version .
  jq '.version = 1000 | .routes[0].service = "unknown"' "$work/current.json" >"$work/invalid.json"
  await "an invalid configuration is refused" is_refused "$work/invalid.json"
  sleep 2
  write_settings $next
  sleep 1
  write_settings
  await "control-$next takes the place of control-$old" has_vote $next
  next=$((next + 1))
done
version=$((version + 1))
change_configuration $version .

vms=(entry-1 entry-2 "${present[@]/#/control-}")
for vm in "${vms[@]}"; do doomed+=("${pid_of[$vm]}"); done
kill -KILL "${doomed[@]}"
wait "${doomed[@]}" 2>/dev/null
rm -r "$work/disk-control-${present[1]}"
# One entry VM is told of no control VM but the one that lost its disk.
write_settings
seeds="\"127.0.$net.${present[1]}:7400\""
job_settings entry-2 102 entry
for vm in "${vms[@]}"; do start_vm "$vm"; done
await "version $version is read back at the end" is_read_back $version
for n in 1 2; do await "entry VM $n serves the added queue at the end" answers_added $n 410; done
version=$((version + 1))
change_configuration $version '.routes |= map(select(.name | startswith("added-") | not))'
for n in 1 2; do await "entry VM $n serves the removed queue no more" answers_added $n 404; done
wait $fleet || fail "a guarantee was violated or a job did not end: $(cat "$work/fleet.out")"
jq -e '.accepted > 100 and .completed == .accepted and .open == 0 and (.broken | length) == 0' \
  "$work/fleet.out" >/dev/null || fail "the results of the fleet: $(cat "$work/fleet.out")"
[ ! -s "$work/wrong.out" ] || fail "$(head -n 3 "$work/wrong.out")"
echo "passed: version $version, control VMs ${present[*]}, $(cat "$work/fleet.out")"
