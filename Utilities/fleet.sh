# Functions that start and stop a small fleet of real processes; sourced by the
# demo, the benchmarks and the process tests. Requires $bin (the build folder)
# and $work (an empty folder), and uses ports from $port upwards.

port=${port:-7100}
pids=()
declare -A pid_of

# Writes the settings file of entry VM $1 (numbered from 1) in data centre $2.
entry_settings() {
  cat >"$work/entry-$1.json" <<JSON
{"vm": "entry-$1", "listen": "127.0.0.1:$((port + $1))",
 "peerListen": "127.0.0.1:$((port + 20 + $1))",
 "entries": [$entries], "control": [$control_rpc],
 "traceFile": "$work/trace.jsonl", "traceEvery": 200, "stopGraceMillis": 200,
 "maxBodyBytes": ${max_body_bytes:-1048576}}
JSON
}

# Writes the settings file of control VM $1 in data centre $2.
control_settings() {
  cat >"$work/control-$1.json" <<JSON
{"vm": "control-$1", "rpcListen": "127.0.0.1:$((port + 40 + $1))",
 "adminListen": "127.0.0.1:$((port + 60 + $1))", "dataFolder": "$work/disk-$1",
 "peers": [$peers], "platform": "127.0.0.1:$((port + 80))",
 "traceFile": "$work/trace.jsonl", "entriesPerSnapshot": ${snapshot_every:-200}}
JSON
}

# Prepares settings for $1 entry VMs and $2 control VMs over three data centres.
prepare_fleet() {
  local n centres=(x a b c)
  entries="" control_rpc="" peers="" admin="" callers=""
  for ((n = 1; n <= $1; n++)); do
    entries+="${entries:+,}{\"vm\":\"entry-$n\",\"dataCentre\":\"${centres[(n - 1) % 3 + 1]}\",\"peerAddress\":\"127.0.0.1:$((port + 20 + n))\"}"
    callers+="${callers:+,}127.0.0.1:$((port + n))"
  done
  for ((n = 1; n <= $2; n++)); do
    control_rpc+="${control_rpc:+,}\"127.0.0.1:$((port + 40 + n))\""
    admin+="${admin:+,}127.0.0.1:$((port + 60 + n))"
    peers+="${peers:+,}{\"vm\":\"control-$n\",\"dataCentre\":\"${centres[(n - 1) % 3 + 1]}\",\"rpcAddress\":\"127.0.0.1:$((port + 40 + n))\",\"adminAddress\":\"127.0.0.1:$((port + 60 + n))\"}"
  done
  for ((n = 1; n <= $1; n++)); do entry_settings "$n"; done
  for ((n = 1; n <= $2; n++)); do control_settings "$n"; done
}

# Starts program $2 under the name $1 with the remaining arguments.
launch() {
  local name=$1
  shift
  "$bin/$@" >>"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=($!)
}

start_entry() { launch "entry-$1" Source/Entry/mimosashunt-entry --settings="$work/entry-$1.json"; }
start_control() { launch "control-$1" Source/Control/mimosashunt-control --settings="$work/control-$1.json"; }
start_platform() {
  launch platform Utilities/StandIns/mimosashunt-standin-platform \
    --listen="127.0.0.1:$((port + 80))" --reboot_ms="${reboot_ms:-300}" \
    --trace_file="$work/trace.jsonl"
}

# Starts backend server $1 of service $2, which announces itself to entry VM $3;
# further arguments are passed on as flags.
start_backend() {
  local number=$1 service=$2 first=$3
  shift 3
  launch "backend-$number" Utilities/StandIns/mimosashunt-standin-backend \
    --name="$service-$number" --service="$service" --vm="vm-$number" \
    --listen="127.0.0.1:$((port + 200 + number))" \
    --entries="127.0.0.1:$((port + 20 + first))" \
    --platform="127.0.0.1:$((port + 80))" --trace_file="$work/trace.jsonl" "$@"
}

ctl() { "$bin/Source/Ctl/mimosashuntctl" --control="$admin" --key_file="$work/operator.key" \
  --trace_file="$work/trace.jsonl" "$@"; }
load() { "$bin/Utilities/StandIns/mimosashunt-standin-load" --entries="$callers" "$@"; }

# Asks process $1 to stop, waits until it has ended, and returns its exit status.
stop_process() {
  kill -TERM "${pid_of[$1]}" 2>/dev/null
  wait "${pid_of[$1]}"
}

# Ends the processes that are still running, by process id.
end_fleet() {
  local pid
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
}

# Retries a command until it succeeds, for at most $1 seconds.
until_true() {
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $limit ] || return 1
    sleep 0.1
  done
}
