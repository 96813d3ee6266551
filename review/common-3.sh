# Sourced by the run.sh of the cases 11 to 15. Starts three control machines
# and some entry machines on loopback with the commands of the deploy file, and runs one
# scenario of target/review-3/standin-3 against them. Sets nothing outside a
# temporary folder.

# Writes the settings of machine $1, number $2, role $3, as deploy/settings.json
# gives them.
write_settings() {
  local ip="127.$net.$2" role
  if [ "$3" = control ]; then
    mkdir -p "$work/disk-$1"
    role="\"controlListen\": \"$ip:8345\", \"dataFolder\": \"$work/disk-$1\", \"firstStart\": true"
  else
    role="\"callersListen\": \"$ip:8340\", \"readyListen\": \"$ip:8343\""
  fi
  cat >"$work/$1.json" <<JSON
{"vm": "$1", "dataCentre": "dc-$4", "internalListen": "$ip:7000",
 "metricsListen": "$ip:9464", "seeds": [$seeds], "logLevel": "info",
 "dataCentres": ["dc-1", "dc-2", "dc-3"], "organisationShares": true,
 "localityWait": true, "memoryMb": 256, "maxDescriptors": 4096,
 "remoteFactor": 1.5, "graceSeconds": 6, "longestLeaseMs": 10000,
 "orderPauseMs": 3000, "platformChecksTokens": true, "maintenanceSeconds": 2,
 "platform": "127.$net.200:8344", "platformOrdersPerSecond": 64, $role}
JSON
}

pids=()
start_machine() { # NAME PROGRAM
  "target/Source/Fleet/$2" --settings="$work/$1.json" >"$work/$1.log" 2>&1 &
  pids+=($!)
  last=$!
}

# The same, and starts the process again half a second after it has ended; its
# id stands in a file.
start_kept_machine() { # NAME PROGRAM
  (
    while [ ! -e "$work/over" ]; do
      "target/Source/Fleet/$2" --settings="$work/$1.json" >>"$work/$1.log" 2>&1 &
      echo $! >"$work/pids/$1"
      wait $!
      sleep 0.5
    done
  ) &
  last=$!
}

end_all() {
  local pid
  touch "$work/over"
  for pid in "${pids[@]}" $(cat "$work"/pids/* 2>/dev/null); do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  [ -n "${KEEP:-}" ] && echo "kept: $work" || rm -rf "$work"
}

# Runs scenario $1 with $2 entry machines (2); exits with its status. With $3 =
# kept, control machines start their process again when it has ended.
run_scenario() {
  local folder control="" entries="" control_pids="" entry_pids="" n status
  folder=$(cd "$(dirname "$0")" && pwd)
  cd "$folder/../.."
  for n in target/Source/Fleet/mimosashunt-scheduler \
    target/Source/Fleet/mimosashunt-gateway target/review-3/standin-3; do
    [ -x "$n" ] || { echo "$n is not built"; exit 2; }
  done
  work=$(mktemp -d)
  mkdir "$work/pids"
  trap end_all EXIT
  net="$((1 + $$ / 250 % 250)).$((1 + $$ % 250))"
  seeds="\"127.$net.1:8345\", \"127.$net.2:8345\", \"127.$net.3:8345\""
  for n in 1 2 3; do
    write_settings "control-$n" $n control $n
    if [ "${3:-}" = kept ]; then
      start_kept_machine "control-$n" mimosashunt-scheduler
    else
      start_machine "control-$n" mimosashunt-scheduler
    fi
    control+="${control:+,}127.$net.$n:8345" control_pids+="${control_pids:+,}$last"
  done
  for ((n = 1; n <= ${2:-2}; n++)); do
    write_settings "entry-$n" $((10 + n)) entry $((n % 3 + 1))
    start_machine "entry-$n" mimosashunt-gateway
    entries+="${entries:+,}127.$net.$((10 + n)):8340" entry_pids+="${entry_pids:+,}$last"
  done
  target/review-3/standin-3 scenario="$1" control="$control" \
    entries="$entries" control_pids="$control_pids" entry_pids="$entry_pids" \
    net="$net" pid_folder="$work/pids" trouble="${TROUBLE:-1}" record="$folder/record.txt" &
  last=$!
  pids+=($last)
  wait "$last"
  status=$?
  [ "$status" -le 2 ] || status=2
  exit "$status"
}
