#!/usr/bin/env bash
# Measures, in one run: requests through an entry VM against requests sent
# directly to a baseline server; the time without a leader after the leader is
# killed, against the election timeout; and the time from the restart of an entry
# VM to its first answer.
set -u
cd "$(dirname "$0")/../.."
bin=$PWD/${MIMOSASHUNT_BUILD:-Build/release}
work=$(mktemp -d)
port=7700
. Utilities/fleet.sh
trap 'end_fleet 2>/dev/null; rm -rf "$work"' EXIT
prepare_fleet 1 3
start_platform
for n in 1 2 3; do start_control $n; done
start_entry 1
bootstrap_group() { ctl bootstrap ada >"$work/operator.key" && [ -s "$work/operator.key" ]; }
until_true 20 bootstrap_group
echo '{"team":"lessons","share":1,"limit":1000,"services":[{"name":"lessons","pools":["stables"],"instances":1,"maxUnavailable":0,"queues":[{"name":"open","open":true},{"name":"keyed"}]}]}' >"$work/d.json"
ctl apply "$work/d.json" >/dev/null
ctl pool make stables >/dev/null
ctl vm add vm-1 stables a r >/dev/null
ctl key grant lessons >"$work/team.key" 2>/dev/null
start_backend 1 lessons 1 --slots=64 --work_ms=1
# The baseline uses the same HTTP stack and answers each request after 1 ms.
launch baseline Utilities/StandIns/mimosashunt-standin-baseline --listen="127.0.0.1:$((port + 300))" --work_ms=1
sleep 4
line() { jq -r "\"$1: \(.requestsPerSecond | floor) requests/s, p50 \(.latencyMillis[\"p50.0\"]) ms, p99 \(.latencyMillis[\"p99.0\"]) ms, answered \(.outcomes.answered)\"" "$2"; }
for senders in 1 32; do
  "$bin/Utilities/StandIns/mimosashunt-standin-load" --direct --entries="127.0.0.1:$((port + 300))" --count=$((senders * 1000)) --concurrency=$senders >"$work/direct"
  load --queue=open --count=$((senders * 1000)) --concurrency=$senders >"$work/open"
  load --queue=keyed --key_file="$work/team.key" --count=$((senders * 1000)) --concurrency=$senders >"$work/keyed"
  line "direct, $senders senders" "$work/direct"
  line "entry VM, open queue, $senders senders" "$work/open"
  line "entry VM, with key, $senders senders" "$work/keyed"
done
now() { date +%s%N; }
for round in 1 2 3; do
  victim=$(ctl --output=json show fleet | jq -r .leader)
  kill -KILL "${pid_of[$victim]}"
  began=$(now)
  until ctl --patience_ms=1500 show in-force >/dev/null 2>&1; do :; done
  echo "without a leader after a kill: $((($(now) - began) / 1000000)) ms (election timeout 500 to 1000 ms)"
  start_control "${victim#control-}"
  sleep 3
done
for round in 1 2 3; do
  kill -KILL "${pid_of[entry-1]}"
  wait "${pid_of[entry-1]}" 2>/dev/null
  began=$(now)
  start_entry 1
  until load --queue=open --count=1 --concurrency=1 2>/dev/null | jq -e '.outcomes.answered == 1' >/dev/null; do :; done
  echo "entry VM restart to first answer: $((($(now) - began) / 1000000)) ms"
  sleep 2
done
