# Starts a small deployment of the project's daemons, on loopback addresses, with
# the commands of deploy/system.toml. Sourced by the run.sh of review/6 to
# review/10. $case is the folder of the case. The settings are those that
# deploy/settings.json makes of the bounds of farasi-arusha.
set -u
cd "$case/../.."
TROUBLE=${TROUBLE:-1}
record=$case/record.txt
stand_in=target/review-2/standin-2
for program in target/Source/Fleet/mimosashunt-scheduler target/Source/Fleet/mimosashunt-gateway $stand_in; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
: >"$record"
work=$(mktemp -d)
# A network of its own for each run: 127.A.B.0/24.
net=127.$((100 + RANDOM % 100)).$((1 + RANDOM % 250))
host=queues.example
declare -A pid_of
finish() {
  local status=$? name
  trap - EXIT
  for name in "${!pid_of[@]}"; do kill -KILL "${pid_of[$name]}" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
  exit $status
}
trap finish EXIT
trap 'exit 2' INT TERM
say() { echo "$(date +%s%3N) script $*" | tee -a "$record"; }
cannot() { say "the case could not run: $*"; exit 2; }
now_ms() { date +%s%3N; }

# Writes the settings of machine $1 with address $2 and role $3.
settings() {
  local role=""
  if [ "$3" = core ]; then
    mkdir -p "$work/disk-$1"
    role="\"controlListen\": \"$2:8345\", \"dataFolder\": \"$work/disk-$1\", \"firstStart\": $4,
  ${advice:+\"advice\": \"$net.201:8344\", }\"platform\": \"$net.200:8344\", \"platformOrdersPerSecond\": 64"
  else
    role="\"callersListen\": \"$2:8340\", \"readyListen\": \"$2:8343\""
  fi
  cat >"$work/$1.json" <<JSON
{"vm": "$1", "dataCentre": "z-a", "internalListen": "$2:7000", "metricsListen": "$2:9464",
  "seeds": ["$net.1:8345", "$net.2:8345", "$net.3:8345"], "logLevel": "info", "dataCentres": ["z-a"],
  "organisationShares": true, "localityWait": true, "remoteFactor": 1.5, "graceSeconds": 6,
  "longestLeaseMs": 6000, "orderPauseMs": 3000, "platformChecksTokens": true, "maintenanceSeconds": 2, $role}
JSON
}
# Starts machine $1 (core-N or front-N).
start_machine() {
  local program=mimosashunt-gateway
  [[ $1 == core-* ]] && program=mimosashunt-scheduler
  target/Source/Fleet/$program --settings="$work/$1.json" >>"$work/$1.log" 2>&1 &
  pid_of[$1]=$!
}
kill_process() {
  kill -KILL "${pid_of[$1]}" 2>/dev/null
  wait "${pid_of[$1]}" 2>/dev/null
}
# Three core machines and $1 frontends.
start_system() {
  local n
  for n in 1 2 3; do settings core-$n $net.$n core true; done
  for ((n = 1; n <= $1; n++)); do settings front-$n $net.$((10 + n)) front; done
  for n in 1 2 3; do start_machine core-$n; done
  for ((n = 1; n <= $1; n++)); do start_machine front-$n; done
  # The whole system starts for the first time only once.
  sleep 2
  for n in 1 2 3; do settings core-$n $net.$n core false; done
}
rack_of() { [ -n "${own_rack:-}" ] && [ "$1" != 1 ] && echo r2 || echo r1; }
# Starts worker N as minion w-N on machine m-N.
start_worker() {
  $stand_in worker --id=w-$1 --listen=$net.$((100 + $1)):8080 --service=s1 --machine=m-$1 --zone=z-a \
    --rack=$(rack_of $1) --control=$net.1:8345,$net.2:8345,$net.3:8345 --record="$record" >>"$work/worker-$1.log" 2>&1 &
  pid_of[worker-$1]=$!
}
start_platform() { # $1: machines
  local n list=""
  for ((n = 1; n <= $1; n++)); do list+="${list:+,}m-$n=$net.$((100 + n)):8080"; done
  $stand_in platform --listen=$net.200:8344 --service=s1 --machines=$list --record="$record" >>"$work/platform.log" 2>&1 &
  pid_of[platform]=$!
}
# If $advice is set, the queue has that advice policy.
manifest() { # $1: version
  local n tenants=""
  for n in 1 2 3 4 5 6; do
    tenants+="${tenants:+,}"'{"name":"t-'$n'","api-keys":["key-of-tenant-'$n'"],"priority":1,"weight":40,"maximum":{"cpu":0,"mem-mb":0,"gpu":0}}'
  done
  echo '{"version":'"$1"',"routes":[{"name":"r-1","host":"'$host'","path-prefix":"/q1/","type":"unsafe","timeout-ms":3000,"target-latency-ms":600,"priority":0,"service":"s1","max-attempts":'"${max_attempts:-3}"',"stretch":1.6,'"${advice:+\"advice\":$advice,}"'"public":false}],"services":[{"name":"s1","health-path":"/health","max-connections":64,"protocol":"h1","tls":false,"rejects-overload":true,"standby":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":['"$tenants"']}'
}
# A call of the operator, sent to each daemon in turn for 15 s until it is
# answered with 2xx; prints the answer.
operator() { # METHOD PATH [BODY]
  local n answer
  for ((n = 0; n < 45; n++)); do
    answer=$($stand_in call "$1" $net.$((1 + n % 3)):8345 "$2" "" "" "${3:-}")
    [[ $answer == 2* ]] && { echo "$answer"; return 0; }
    sleep 0.3
  done
  echo "$answer"
  return 1
}
# One call of a requester to frontend 1; prints status and body.
requester() { # METHOD ID [BODY]
  $stand_in call "$1" $net.11:8340 "/q1/$2" $host key-of-tenant-1 "${3:-}"
}
# Repeats a call for $1 s until it is answered with 2xx.
requester_until() { # SECONDS METHOD ID [BODY]
  local seconds=$1 end answer
  shift
  end=$(($(now_ms) + seconds * 1000))
  while [ "$(now_ms)" -lt $end ]; do
    answer=$(requester "$@")
    [[ $answer == 2* ]] && { echo "$answer"; return 0; }
    sleep 0.3
  done
  echo "$answer"
  return 1
}
begin() { # workers frontends
  local n
  start_platform "$1"
  start_system "$2"
  for ((n = 1; n <= $1; n++)); do start_worker $n; done
  operator POST /mimosashunt/config/replace "$(manifest 1)" >/dev/null || cannot "no manifest was taken"
  for ((n = 0; n < 100; n++)); do
    [[ $($stand_in call GET $net.11:8343 /mimosashunt/ready) == 200* ]] && break
    sleep 0.1
  done
  [ $n -lt 100 ] || cannot "the frontend is not ready"
  sleep 2
  say "three core machines, $2 frontend and $1 minions are up"
}

# The provider: "A process that uses more than memory-mb is killed", "A process
# that exits or is killed is restarted after a short delay". Looks at the core
# machines once.
memory_mb=256
declare -A ended=([1]=0 [2]=0 [3]=0) back_at=([1]=0 [2]=0 [3]=0)
most=0
provider() {
  local n mb
  for n in 1 2 3; do
    if [ ${back_at[$n]} -gt 0 ]; then
      [ "$(now_ms)" -lt ${back_at[$n]} ] && continue
      back_at[$n]=0
      start_machine core-$n
      continue
    fi
    mb=$(awk '/VmRSS/{print int($2/1024)}' /proc/${pid_of[core-$n]}/status 2>/dev/null)
    [ -n "$mb" ] || mb=0
    [ $mb -gt $most ] && most=$mb
    [ $mb -gt $memory_mb ] || continue
    kill_process core-$n
    ended[$n]=$((ended[$n] + 1))
    back_at[$n]=$(($(now_ms) + 1000))
    say "core-$n uses $mb MB of $memory_mb MB and is ended"
  done
  sleep 0.05
}
# After finish_s asks for the submissions of the file $1, a key and an ID a
# line, each until it is answered with a state, for 20 s; what is left there
# got no answer. Touches $work/asked at the end.
ask_for() {
  local end key id answer
  sleep 14
  end=$(($(now_ms) + 20000))
  while [ "$(now_ms)" -lt $end ] && [ -s "$1" ]; do
    while read -r key id; do
      [ "$(now_ms)" -lt $end ] || break
      answer=$($stand_in call GET $net.11:8340 "/q1/$id" $host "$key")
      echo "$(now_ms) requester GET $id: $answer" >>"$record"
      [[ $answer == "200 "*state* ]] && sed -i "/ $id\$/d" "$1"
    done < <(cat "$1")
  done
  touch "$work/asked"
}
