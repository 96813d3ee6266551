#!/usr/bin/env bash
# Measures how resource use grows with the size of the fleet, for
# docs/CAPACITY.md: starts idle fleets of several sizes and prints processor
# time, memory and loopback traffic per role as CSV. No requests are sent, so
# the figures show the cost of control traffic only.
set -u
cd "$(dirname "$0")/../.."
bin=$PWD/${MIMOSASHUNT_BUILD:-Build/release}
span=${SPAN:-10}
ticks=$(getconf CLK_TCK)
cpu() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
loopback() { awk '/lo:/ {print $2}' /proc/net/dev; }

# Prints processor use in percent and memory in MB, each the mean over the
# processes whose names begin with $1.
role() { # PREFIX
  local name n=0 used=0 memory=0 now
  for name in "${!pid_of[@]}"; do
    case $name in "$1"*) ;; *) continue ;; esac
    now=$(cpu "${pid_of[$name]}")
    used=$((used + now - ${before[$name]}))
    memory=$((memory + $(rss "${pid_of[$name]}")))
    n=$((n + 1))
  done
  [ $n -eq 0 ] && { echo "0,0"; return; }
  awk -v u=$used -v t=$ticks -v s=$span -v n=$n -v m=$memory \
    'BEGIN {printf "%.2f,%.1f", 100 * u / t / s / n, m / n / 1024}'
}

measure() { # ENTRIES CONTROLS BACKENDS TEAMS VMS
  work=$(mktemp -d)
  pids=()
  declare -gA pid_of=()
  . Utilities/fleet.sh
  prepare_fleet "$1" "$2"
  start_platform
  local n
  for ((n = 1; n <= $2; n++)); do start_control $n; done
  for ((n = 1; n <= $1; n++)); do start_entry $n; done
  bootstrap_group() { ctl bootstrap ada >"$work/operator.key" && [ -s "$work/operator.key" ]; }
  until_true 30 bootstrap_group
  ctl pool make stables >/dev/null
  for ((n = 1; n <= $4; n++)); do
    echo "{\"team\":\"team-$n\",\"share\":2,\"limit\":64,\"services\":[{\"name\":\"service-$n\",\"pools\":[\"stables\"],\"instances\":8,\"maxUnavailable\":1,\"queues\":[{\"name\":\"queue-$n\"}]}]}" >"$work/doc.json"
    ctl apply "$work/doc.json" >/dev/null
  done
  for ((n = 1; n <= $5; n++)); do ctl vm add vm-$n stables a rack-$n >/dev/null; done
  for ((n = 1; n <= $3; n++)); do start_backend $n service-$((n % $4 + 1)) $(((n - 1) % $1 + 1)); done
  sleep 6
  declare -gA before=()
  for name in "${!pid_of[@]}"; do before[$name]=$(cpu "${pid_of[$name]}"); done
  local bytes
  bytes=$(loopback)
  sleep "$span"
  bytes=$(($(loopback) - bytes))
  echo "$1,$2,$3,$4,$5,$(role control),$(role entry),$(role backend),$((bytes / span))"
  end_fleet 2>/dev/null
  rm -rf "$work"
}

echo "entries,controls,backends,teams,vms,control_cpu_percent,control_mb,entry_cpu_percent,entry_mb,backend_cpu_percent,backend_mb,loopback_bytes_per_second"
if [ $# -eq 5 ]; then measure "$@"; exit; fi
measure 3 3 6 5 12
measure 6 3 6 5 12
measure 9 3 6 5 12
measure 3 5 6 5 12
measure 3 7 6 5 12
measure 3 3 24 5 24
measure 3 3 48 5 48
measure 3 3 6 20 12
measure 3 3 6 37 12
measure 3 3 6 5 120
