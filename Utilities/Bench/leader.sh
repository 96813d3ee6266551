#!/usr/bin/env bash
# Measures the processor time of the control VMs at a steady rate of jobs: real
# daemons on loopback, 5 control VMs, 6 entry VMs and 440 stand-in workers.
# Usage: leader.sh BUILD-FOLDER [JOBS-PER-SECOND] [PERF-OUTPUT]
# A job has two steps of eight tasks, so a job is 16 starts. With PERF-OUTPUT the
# leader is sampled by perf(1) meanwhile.
set -u
bin=$(realpath "$1")
rate=${2:-90}
perf_output=${3:-}
measured_seconds=5
net=77
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
source Utilities/jobfleet.sh
trap 'end_jobs; rm -rf "$work"' EXIT
ulimit -n 8000

# Prints the processor time of control VM $1 in clock ticks.
ticks_of() { awk '{print $14 + $15}' "/proc/${pid_of[control-$1]}/stat"; }

prepare_jobs 5 6
start_jobs 5 6
sleep 2
"$bin/Tests/Platform/mimosashunt-standin-fleet" --control="$control" --entries="$entries" \
  --workers=110 --pools=4 --width=8 --steps=2 --task_ms=800 --jobs_per_second="$rate" \
  --seconds=10 --settle_seconds=15 --worker_ip="127.0.$net.200" >"$work/fleet.out" &
fleet=$!
sleep 5
leader=$(grep -l '"event":"leads"' "$work"/control-*.log | tail -1 | sed 's/.*control-//; s/\.log//')
declare -A before
for n in 1 2 3 4 5; do before[$n]=$(ticks_of $n); done
if [ -n "$perf_output" ]; then
  perf record -q --call-graph dwarf,16384 -F 997 -p "${pid_of[control-$leader]}" \
    -o "$perf_output" -- sleep $measured_seconds >/dev/null 2>&1
else
  sleep $measured_seconds
fi
for n in 1 2 3 4 5; do
  spent=$(($(ticks_of $n) - before[$n]))
  echo "control-$n: $spent ticks in $measured_seconds s$([ "$n" = "$leader" ] && echo ", leader")"
done
wait $fleet
cat "$work/fleet.out"
