#!/usr/bin/env bash
# Replaces a control VM for good, four times: twice the newest, then each of the
# other two. Each time an empty VM comes at another address, and the settings of
# all name those that are there. Guards against a group that has no leader from
# the third replacement on, so that an accepted configuration cannot be read
# back and no change of it is accepted.
set -u
bin=$1
net=$2
work=$(mktemp -d)
script_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$script_dir/../../Utilities/jobfleet.sh"
trap 'status=$?; end_jobs; [ $status -eq 0 ] || tail -n 5 "$work"/*.log; rm -rf "$work"' EXIT
# Prints a configuration of one queue with version $1.
configuration() { jq ".version = $1" "$script_dir/../Platform/OneQueue.json"; }
# True once version $1 is acknowledged by one of the control VMs.
is_accepted() {
  local n
  for n in "${present[@]}"; do
    curl -sf -m 2 -o /dev/null -X POST -d "$(configuration "$1")" \
      "http://127.0.$net.$n:7400/mimosashunt/config/replace" && return 0
  done
  return 1
}
# True if each control VM reads version $1 back.
is_read_back() {
  local n
  for n in "${present[@]}"; do
    curl -sf -m 2 "http://127.0.$net.$n:7400/mimosashunt/config/get" |
      jq -e ".version == $1" >/dev/null || return 1
  done
}
is_ready() { curl -sf -m 2 -o /dev/null "http://127.0.$net.101:7301/mimosashunt/ready"; }
# True once control VM $1 has a vote: it began as a learner and logs the change.
has_vote() { grep -q '"event":"role"' "$work/control-$1.log"; }

# The numbers of the control VMs that are there.
present=(1 2 3)
prepare_jobs 3 1
start_jobs 3 1
await "the first configuration is accepted" is_accepted 1
first_start=false
version=1
next=4
for turn in 2 2 0 1; do
  old=${present[$turn]}
  kill_vm "control-$old"
  rm -r "$work/disk-control-$old"
  present[turn]=$next
  seeds=$(printf '"127.0.'"$net"'.%s:7400",' "${present[@]}")
  seeds=${seeds%,}
  for n in "${present[@]}"; do job_settings "control-$n" "$n" control; done
  job_settings entry-1 101 entry
  start_vm "control-$next"
  await "control-$next takes the place of control-$old" has_vote $next
  version=$((version + 1))
  await "version $version is accepted without control-$old" is_accepted $version
  await "version $version is read back without control-$old" is_read_back $version
  next=$((next + 1))
done
await "the entry VM is ready" is_ready
echo "passed: version $version, control VMs ${present[*]}"
