# Shared setup and helper functions of the tests that run real processes; sourced
# by each test. Arguments: build folder, first port.
set -u
bin=$1
port=$2
work=$(mktemp -d)
script_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$script_dir/../../Utilities/fleet.sh"
trap 'status=$?; end_fleet; [ $status -eq 0 ] || tail -n 8 "$work"/*.log; rm -rf "$work"' EXIT
# Upper bound in seconds for reaching a state. It only ends a hanging test; no
# test asserts elapsed time.
state_timeout=60

# Reports $1 and ends the test with status 1.
fail() { echo "FAILED: $1"; exit 1; }
# Waits until the command after $1 succeeds; fails with the description $1 if it
# does not within the timeout.
await() { local what=$1; shift; until_true $state_timeout "$@" || fail "$what"; }

# Bootstraps the control group and stores the operator's key.
bootstrap_group() { ctl bootstrap ada >"$work/operator.key" && [ -s "$work/operator.key" ]; }
# True if the control group has $1 voters.
has_voters() { [ "$(ctl --output=json show fleet | jq '[.control[] | select(.role == "voter")] | length')" = "$1" ]; }
# True if the first service has $1 live backend servers.
has_live_backends() { [ "$(ctl --output=json show fleet | jq '.services[0].live')" = "$1" ]; }
# True if all reachable entry VMs, at least one, apply the latest revision.
is_in_force_on_reachable_entries() { ctl --output=json show in-force | jq -e '.revision as $r | [.entries[] | select(.reachable) | .revision == $r] | length > 0 and all'; }
# True if there are $1 entry VMs and all are reachable and apply the latest
# revision.
has_entries_in_force() { ctl --output=json show in-force | jq -e --argjson n "$1" '.revision as $r | [.entries[] | .reachable and .revision == $r] | length == $n and all'; }
# Prints the name of the leading control VM.
leader_vm() { ctl --output=json show fleet | jq -r .leader; }
# Prints the value of jq filter $2 for JSON file $1.
json_field() { jq -r "$2" "$1"; }

# Starts $1 entry VMs, $2 control VMs and $3 backend servers of one service and
# waits until the configuration is in force. Optional variables: team_limit,
# backend_flags, and those of Utilities/fleet.sh.
start_all() {
  prepare_fleet "$1" "$2"
  start_platform
  local n
  for ((n = 1; n <= $2; n++)); do start_control $n; done
  for ((n = 1; n <= $1; n++)); do start_entry $n; done
  await "the control group is bootstrapped" bootstrap_group
  await "all control VMs vote" has_voters "$2"
  cat >"$work/lessons.json" <<JSON
{"team": "lessons", "share": 4, "limit": ${team_limit:-32}, "services": [
  {"name": "lessons", "pools": ["stables"], "instances": $(($3 > 0 ? $3 : 2)), "maxUnavailable": 1,
   "queues": [{"name": "book-lesson"}, {"name": "timetable", "open": true}]}]}
JSON
  ctl apply "$work/lessons.json" || fail "apply"
  ctl pool make stables || fail "pool"
  for ((n = 1; n <= $3; n++)); do ctl vm add vm-$n stables a rack-$n || fail "vm"; done
  ctl key grant lessons >"$work/team.key" 2>"$work/team.id" || fail "grant"
  for ((n = 1; n <= $3; n++)); do
    start_backend $n lessons $(((n - 1) % $1 + 1)) --journal="$work/journal-$n" --times="$work/times-$n" ${backend_flags:-}
  done
  [ "$3" -eq 0 ] || await "backend servers are live" has_live_backends "$3"
  await "the configuration is in force" has_entries_in_force "$1"
}
# Prints the id of the team's key.
key_id() { sed -n 's/^id \([0-9a-f]*\);.*/\1/p' "$work/team.id"; }
