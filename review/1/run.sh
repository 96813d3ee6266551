#!/usr/bin/env bash
# The three control VMs are replaced one after the other, 10 s apart: one ends for
# good, 1 s later an empty one starts at another address (replace_core). The
# settings of all name the three that are there. At most one machine is lost at
# any time, and each successor has 9 s to catch up (catch-up-s is 4).
# TROUBLE=0: the same without the disruption.
trouble=${TROUBLE:-1}
case_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$case_dir/../common.sh"

start_deployment
for n in 1 2 3; do
  start_standin "i-$n" minion ID=i-$n SERVICE=bookings ADDRESS="$(ip $((100 + n))):8080" \
    CONTROL="$control,$(ip 4):7400,$(ip 5):7400,$(ip 6):7400"
done
operator /mimosashunt/config/replace POST "$manifest" || unable "no ack of the manifest"
await 15 is_ready || unable "the entry VM is not ready"
sleep 2
# The last is a service that lasts.
job=5c0e7a21d94b36f8
submit $job '{"spec":"lasts","steps":[{"count":2,"cpu":1800,"mem-mb":2500,"estimate-ms":700,"long-running":true}]}' slot ||
  unable "the submission was not accepted"
sleep 2

there=(1 2 3)
# Writes the settings of VM $1 with number $2 as they are now.
core_file() {
  mkdir -p "$work/disk-$1"
  settings "core-$1" "$(ip $1)" "\"controlListen\": \"$(ip $1):7400\", \"dataFolder\": \"$work/disk-$1\", \"firstStart\": false"
}
if [ "$trouble" = 1 ]; then
  for turn in 0 1 2; do
    old=${there[$turn]} new=$((turn + 4))
    note "core-$old is gone for good"
    kill -KILL "${pid_of[core-$old]}"
    wait "${pid_of[core-$old]}" 2>/dev/null
    sleep 1
    there[$turn]=$new
    seeds="\"$(ip ${there[0]}):7400\", \"$(ip ${there[1]}):7400\", \"$(ip ${there[2]}):7400\""
    note "core-$new starts, empty, at another address"
    for n in "${there[@]}"; do core_file "$n"; done
    settings front-1 "$(ip 11)" "\"callersListen\": \"$(ip 11):7300\", \"readyListen\": \"$(ip 11):7301\""
    start_core $new
    sleep 9
  done
else
  sleep 30
fi
# Calm for 20 s more. The submission is known and runs, the manifest is there.
known="" held=""
for ((n = 0; n < 40; n++)); do
  sleep 0.5
  call GET /slot/$job
  [ "$status" = 200 ] && known=yes
  for c in "${there[@]}"; do
    http "$(ip $c):7400" GET /mimosashunt/config/get 1000
    [[ $status == 200 && $answer == *'"version":1'* ]] && held=yes
  done
done
running=$(for f in "$work"/i-*.events; do
  awk '$4 == "minion" && $5 == "start" { r[$6] = 1 } $4 == "minion" && $5 == "end" { delete r[$6] } END { for (t in r) print t }' "$f"
done | sort -u | wc -l)
note "known: ${known:-no}, manifest: ${held:-no}, tasks at work: $running of 2"
if [ -z "$known" ] || [ -z "$held" ] || [ "$running" -lt 2 ]; then
  echo "LOST, CONFIG: the submission is known: ${known:-no}; the manifest is read back: ${held:-no}; tasks at work: $running of 2"
  exit 1
fi
echo "held: known, read back, $running tasks at work"
exit 0
