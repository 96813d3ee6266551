# Sourced by the scripts of the cases: a small deployment on loopback, three
# control VMs and one entry VM, started with the commands of deploy/system.toml
# and settings as deploy/settings.json makes them of a small site (the bounds of
# sites/farasi-arusha.toml). Requires $case_dir and $trouble.
set -u
review_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$review_dir/.." && pwd)
standin="$review_dir/standin"
work=$(mktemp -d)
record="$case_dir/record.txt"
: >"$record"
pids=()
declare -A pid_of
# A network of this run's own, so that runs beside each other don't meet.
net=$((RANDOM % 200 + 20))
sub=$((RANDOM % 200 + 20))
ip() { echo "127.$net.$sub.$1"; }

now_ms() { date +%s%3N; }
note() { echo "$(now_ms) script $*" >>"$record"; }

finish() {
  local status=$?
  trap - EXIT
  # The provider ends the minions on its machines first.
  if [ -n "${pid_of[provider]:-}" ]; then
    kill -TERM "${pid_of[provider]}" 2>/dev/null
    wait "${pid_of[provider]}" 2>/dev/null
  fi
  [ ${#pids[@]} -eq 0 ] || kill -CONT "${pids[@]}" 2>/dev/null
  [ ${#pids[@]} -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null
  wait 2>/dev/null
  sort -s -n -k 1,1 "$record" "$work"/*.events 2>/dev/null >"$work/record"
  {
    cat "$work/record"
    echo "-- leaders and the jobs' ends, as the control VMs log them"
    cat "$work"/core-*.log 2>/dev/null | grep -hE '"event":"(leads|job_failed|run_lost|worker_crashed|maintenance_begins|maintenance_ended|maintenance_ordered|start_not_taken)"'
  } >"$record"
  rm -rf "$work"
  exit $status
}
trap finish EXIT
unable() { note "could not run: $1"; echo "could not run: $1"; exit 2; }

[ -x "$standin" ] && [ -x "$root/target/Source/Fleet/mimosashunt-scheduler" ] &&
  [ -x "$root/target/Source/Fleet/mimosashunt-gateway" ] ||
  unable "build the deploy file and review/build.sh first"

control="$(ip 1):7400,$(ip 2):7400,$(ip 3):7400"
seeds="\"$(ip 1):7400\", \"$(ip 2):7400\", \"$(ip 3):7400\""
# Writes the settings file of VM $1; $2 is its address, $3 its role's lines.
settings() {
  cat >"$work/$1.json" <<JSON
{"vm": "$1", "dataCentre": "arusha-a", "internalListen": "$2:7500",
 "metricsListen": "$2:9464", "seeds": [$seeds], "logLevel": "info",
 "dataCentres": ["arusha-a"], "organisationShares": true, "localityWait": true,
 "remoteFactor": 1.5, "graceSeconds": 6, "longestLeaseMs": 6000,
 "orderPauseMs": 3000, "platformChecksTokens": true, "maintenanceSeconds": 2,
 $3}
JSON
}
# Starts program $2 of VM $1.
start_vm() {
  (cd "$root" && exec "target/Source/Fleet/$2" --settings="$work/$1.json") >>"$work/$1.log" 2>&1 &
  pid_of[$1]=$!
  pids+=($!)
}
start_core() { start_vm "core-$1" mimosashunt-scheduler; }
# $1: firstStart; $2: further settings of control VMs.
core_settings() {
  local n
  for n in 1 2 3; do
    mkdir -p "$work/disk-$n"
    settings "core-$n" "$(ip $n)" "\"controlListen\": \"$(ip $n):7400\", \"dataFolder\": \"$work/disk-$n\", \"firstStart\": $1${2:+, $2}"
  done
}
start_deployment() {
  core_settings true "${1:-}"
  settings front-1 "$(ip 11)" "\"callersListen\": \"$(ip 11):7300\", \"readyListen\": \"$(ip 11):7301\""
  local n
  for n in 1 2 3; do start_core $n; done
  start_vm front-1 mimosashunt-gateway
}
# Starts a stand-in; $1: name of its event file, the rest: its arguments.
start_standin() {
  local name=$1
  shift
  "$standin" "$@" >>"$work/$name.events" 2>>"$work/$name.err" &
  pid_of[$name]=$!
  pids+=($!)
}
# Succeeds once command $2.. does, within $1 seconds.
await() {
  local until=$(($(now_ms) + $1 * 1000))
  shift
  while ! "$@"; do
    [ "$(now_ms)" -lt "$until" ] || return 1
    sleep 0.05
  done
}
# An HTTP call: $1 address, $2 method, $3 path, $4 time-out in ms, $5 body, then
# header lines. Sets $status and $answer; $status is 000 without an answer.
http() {
  local all
  all=$("$standin" call "$1" "$2" "$3" "$4" "${5:-}" "${@:6}" 2>/dev/null)
  status=${all%% *}
  answer=${all#* }
}
# Sends $2 with body $3 to path $1 of any control VM until one answers 2xx.
operator() {
  local n until=$(($(now_ms) + 15000))
  while [ "$(now_ms)" -lt "$until" ]; do
    for n in 1 2 3; do
      http "$(ip $n):7400" "$2" "$1" 1000 "${3:-}"
      [[ $status == 2* ]] && { note "operator $2 $1: $status ${answer:0:200}"; return 0; }
    done
    sleep 0.2
  done
  return 1
}
entry="$(ip 11):7300"
# A caller's call: $1 method, $2 path, $3 body. Sets $status and $answer.
call() {
  http "$entry" "$1" "$2" 3000 "${3:-}" 'host: bookings.example' 'mimosashunt-deadline-ms: 3000'
  note "caller $1 $2 ${3:-}: $status $answer"
}
is_ready() {
  http "$(ip 11):7301" GET /mimosashunt/ready 1000
  [ "$status" = 200 ]
}
# Hands in the job $1 with body $2 on queue $3; repeats what was not accepted.
submit() {
  local until=$(($(now_ms) + 10000))
  while [ "$(now_ms)" -lt "$until" ]; do
    call POST "/$3/$1" "$2"
    [[ $status == 2* ]] && return 0
    sleep 0.3
  done
  return 1
}
# One queue, slot-check, whose service is bookings; office stands by. $manifest_alone
# has no service that stands by, so that no machine moves.
manifest='{"version":1,"routes":[{"name":"slot-check","host":"bookings.example","path-prefix":"/slot/","type":"unsafe","timeout-ms":3000,"target-latency-ms":600,"priority":0,"service":"bookings","max-attempts":3,"stretch":1.6,"public":true}],"services":[{"name":"bookings","health-path":"/health","max-connections":64,"protocol":"h1","tls":false,"rejects-overload":true,"standby":false},{"name":"office","health-path":"/health","max-connections":64,"protocol":"h1","tls":false,"rejects-overload":true,"standby":true}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"parents","api-keys":["k1parentsparents0001"],"priority":1,"weight":40,"maximum":{"cpu":0,"mem-mb":0,"gpu":0}}]}'
manifest_alone='{"version":1,"routes":[{"name":"slot-check","host":"bookings.example","path-prefix":"/slot/","type":"unsafe","timeout-ms":3000,"target-latency-ms":600,"priority":0,"service":"bookings","max-attempts":3,"stretch":1.6,"public":true}],"services":[{"name":"bookings","health-path":"/health","max-connections":64,"protocol":"h1","tls":false,"rejects-overload":true,"standby":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"parents","api-keys":["k1parentsparents0001"],"priority":1,"weight":40,"maximum":{"cpu":0,"mem-mb":0,"gpu":0}}]}'
