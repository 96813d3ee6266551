#!/usr/bin/env bash
# Installs dependencies, builds, and demonstrates the main functions with real
# processes: three control VMs, three entry VMs, backend servers, a platform and
# a load generator. Exits with status 0 only if every step succeeds.
set -u
cd "$(dirname "$0")/.."
Utilities/install.sh || exit 1
[ -n "${MIMOSASHUNT_BUILD:-}" ] || {
  cmake --preset release >/dev/null && cmake --build --preset release >/dev/null || exit 1
}
bin=$PWD/${MIMOSASHUNT_BUILD:-Build/release}
work=$(mktemp -d)
. Utilities/fleet.sh
trap 'end_fleet; rm -rf "$work"' EXIT

failures=0
step() { # NAME COMMAND...: runs a step and prints whether it succeeded.
  local name=$1
  shift
  if "$@" >"$work/step.out" 2>&1; then
    echo "  ok      $name"
  else
    echo "  FAILED  $name"
    sed 's/^/            /' "$work/step.out" | tail -5
    failures=$((failures + 1))
  fi
}
account() { # FILE: prints the report of a load run.
  jq -r '"          \(.sent) sent in \(.seconds * 100 | floor / 100) s, outcomes \(.outcomes), latency ms p50 \(.latencyMillis.p50_0 // .latencyMillis["p50.0"] | . * 100 | floor / 100), p99 \(.latencyMillis["p99.0"] | . * 100 | floor / 100)"' "$1"
}
holds() { jq -e "$2" "$1"; }

echo "Fleet: three control VMs and three entry VMs in data centres a, b and c"
prepare_fleet 3 3
start_platform
for n in 1 2 3; do start_control $n; done
for n in 1 2 3; do start_entry $n; done
bootstrap_group() { ctl bootstrap ada >"$work/operator.key"; }
until_true 10 bootstrap_group
step "a group of control VMs is founded" test -s "$work/operator.key"
voters() { [ "$(ctl --output=json show fleet | jq '[.control[] | select(.role == "voter")] | length')" = 3 ]; }
step "the other control VMs join as voters" until_true 15 voters

echo "Configuration"
cat >"$work/lessons.json" <<'JSON'
{"team": "lessons", "share": 4, "limit": 64, "services": [
  {"name": "lessons", "pools": ["stables"], "instances": 4, "maxUnavailable": 1,
   "queues": [{"name": "book-lesson"}, {"name": "timetable", "open": true}]}]}
JSON
step "a service document is applied" ctl apply "$work/lessons.json"
step "a pool is made" ctl pool make stables
for n in 1 2 3 4; do
  step "VM vm-$n joins the pool" ctl vm add vm-$n stables "$(printf 'abca' | cut -c$n)" rack-$n
done
ctl key grant lessons >"$work/team.key" 2>"$work/team.id"
step "a team key is granted" test -s "$work/team.key"
echo wrong >"$work/wrong.key"

echo "Backend servers announce themselves"
for n in 1 2 3 4; do start_backend $n lessons $(((n - 1) % 3 + 1)); done
live() { [ "$(ctl --output=json show fleet | jq '.services[0].live')" = "$1" ]; }
step "four backend servers are live" until_true 15 live 4
in_force() { ctl --output=json show in-force | jq -e '.revision as $r | [.entries[] | .reachable and .revision == $r] | length == 3 and all'; }
step "the configuration is in force on three entry VMs" until_true 10 in_force

echo "Load"
load --queue=book-lesson --key_file="$work/team.key" --count=3000 --ids --trace_file="$work/trace.jsonl" >"$work/keyed.json"
account "$work/keyed.json"
step "3000 requests with the team's key are answered" holds "$work/keyed.json" '.outcomes.answered == 3000 and .wrongAnswers == 0 and .cutOff == 0'
load --queue=book-lesson --count=50 >"$work/none.json"
step "requests without a key are refused" holds "$work/none.json" '.outcomes["not-run.key-required"] == 50'
load --queue=book-lesson --key_file="$work/wrong.key" --count=50 >"$work/wrong.json"
step "requests with a wrong key are refused" holds "$work/wrong.json" '.outcomes["not-run.key-refused"] == 50'
load --queue=timetable --count=300 >"$work/open.json"
step "an open queue takes requests without a key" holds "$work/open.json" '.outcomes.answered == 300'

echo "Changes while requests run"
load --queue=timetable --count=100000 --concurrency=8 --pause_ms=5 --seconds=12 >"$work/steady.json" &
steady=$!
ctl wave announce autumn vm-1 vm-2 --wait --patience_ms=30000 >"$work/wave.out"
step "a maintenance wave over two VMs ends" holds <(ctl --output=json show waves) '.[0].ended and (.[0].done | length == 2)'
sed 's/^/          /' "$work/wave.out"
step "all four backend servers are live again" until_true 10 live 4
step "a backend server leaves" stop_process backend-4
step "an entry VM stops" stop_process entry-3
wait $steady
account "$work/steady.json"
step "no request was cut off meanwhile" holds "$work/steady.json" '.cutOff == 0 and .wrongAnswers == 0 and (.outcomes | keys == ["answered"])'
start_entry 3
until_true 10 in_force

echo "Withdrawal of the key"
load --queue=book-lesson --key_file="$work/team.key" --count=100000 --concurrency=6 --pause_ms=2 --seconds=6 >"$work/withdrawn.json" &
steady=$!
sleep 1
id=$(sed -n 's/^id \([0-9a-f]*\);.*/\1/p' "$work/team.id")
began=$(date +%s%N)
step "the key is withdrawn" ctl key withdraw "$id"
until_true 10 in_force
load --queue=book-lesson --key_file="$work/team.key" --count=60 >"$work/after.json"
seen=$(((10#$(date +%s%N) - began) / 1000000))
wait $steady
step "the withdrawn key is refused by every entry VM" holds "$work/after.json" '.outcomes["not-run.key-refused"] == 60'
echo "          last acceptance $(jq .lastAcceptedMillis "$work/withdrawn.json") ms after that load began; the withdrawal was sent 1000 ms after it, and all refused at most $seen ms later"

echo "Stop"
for name in backend-1 backend-2 backend-3 entry-1 entry-2 entry-3 control-1 control-2 control-3 platform; do
  step "$name stops on SIGTERM" stop_process $name
done
spans=$(jq -r .name "$work/trace.jsonl" 2>/dev/null | sort | uniq -c | awk '{printf "%s %s, ", $2, $1}')
echo "          spans: ${spans%, }"

if [ $failures -ne 0 ]; then
  echo "$failures steps failed; the logs follow"
  tail -n 5 "$work"/*.log
  exit 1
fi
echo "Every step held."
