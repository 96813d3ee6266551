# Functions that start and stop the daemons that run jobs on loopback, each VM on
# its own IP address; sourced by tests and trials. Requires $bin (the build
# folder), $work (an empty folder) and $net (the third number of 127.0.NET.N).

declare -A pid_of
pids=()

# Writes the settings file of VM $1, which is number $2 of role $3 (control or entry).
job_settings() {
  local ip="127.0.$net.$2" role=""
  if [ "$3" = control ]; then
    role="\"controlListen\": \"$ip:7400\", \"dataFolder\": \"$work/disk-$1\", \"firstStart\": ${first_start:-true},
 \"platformOrdersPerSecond\": 4${known_data_centres:+, \"dataCentres\": [$known_data_centres]}"
    mkdir -p "$work/disk-$1"
  else
    role="\"callersListen\": \"$ip:7300\", \"readyListen\": \"$ip:7301\""
  fi
  cat >"$work/$1.json" <<JSON
{"vm": "$1", "dataCentre": "dc-$(($2 % 3 + 1))", "internalListen": "$ip:7500",
 "metricsListen": "$ip:9464", "seeds": [$seeds], "graceSeconds": 3, $role}
JSON
}

# Prepares $1 control VMs and $2 entry VMs; sets $control and $entries.
prepare_jobs() {
  local n
  seeds="" control="" entries=""
  for ((n = 1; n <= $1; n++)); do
    [ $n -le 3 ] && seeds+="${seeds:+,}\"127.0.$net.$n:7400\""
    control+="${control:+,}127.0.$net.$n:7400"
  done
  for ((n = 1; n <= $2; n++)); do entries+="${entries:+,}127.0.$net.$((100 + n)):7300"; done
  for ((n = 1; n <= $1; n++)); do job_settings "control-$n" $n control; done
  for ((n = 1; n <= $2; n++)); do job_settings "entry-$n" $((100 + n)) entry; done
}

# Reports $1 and ends the script with status 1.
fail() { echo "FAILED: $1"; exit 1; }
# Waits until the command after $1 succeeds; fails with the description $1 after
# 60 s. The bound only ends a hanging test; no test asserts elapsed time.
await() {
  local n what=$1
  shift
  for ((n = 0; n < 600; n++)); do
    "$@" && return 0
    sleep 0.1
  done
  fail "$what"
}

# Starts VM $1 and appends its output to its log file.
start_vm() {
  local program=mimosashunt-gateway
  [[ $1 == control-* ]] && program=mimosashunt-scheduler
  "$bin/Source/Fleet/$program" --settings="$work/$1.json" >>"$work/$1.log" 2>&1 &
  pid_of[$1]=$!
  pids+=($!)
}

start_jobs() {
  local n
  for ((n = 1; n <= $1; n++)); do start_vm "control-$n"; done
  for ((n = 1; n <= $2; n++)); do start_vm "entry-$n"; done
}

# Kills the process of VM $1 and waits until it is gone.
kill_vm() {
  kill -KILL "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2>/dev/null
}

# Ends the processes started by this script, by process id.
end_jobs() {
  [ ${#pids[@]} -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null
  wait 2>/dev/null
}
