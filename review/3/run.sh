#!/usr/bin/env bash
# The list of one minion of ten holds an entry of another writer beside its own.
# Once, the channel to this minion is reset while a start is on its way, and the
# minion has not seen that start. The task has to be started again. (TROUBLE=reset
# and TROUBLE=entry are the two apart.)
# TROUBLE=0: the same without the disruption.
trouble=${TROUBLE:-1}
case_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$case_dir/../common.sh"

start_deployment
for n in 1 2 3 4 5 6 7 8 9; do
  start_standin "i-$n" minion ID=i-$n SERVICE=bookings ADDRESS="$(ip $((100 + n))):8080" CONTROL="$control" LABELS=a,r1
done
start_standin i-10 minion ID=i-10 SERVICE=bookings ADDRESS="$(ip 110):8080" CONTROL="$control" LABELS=b,r1 \
  FOREIGN="$work/foreign" RESET="$work/reset"
operator /mimosashunt/config/replace POST "$manifest" || unable "no ack of the manifest"
await 15 is_ready || unable "the entry VM is not ready"
sleep 3
if [ "$trouble" = 1 ] || [ "$trouble" = entry ]; then
  touch "$work/foreign"
  note "the list of i-10 holds an entry of another writer from now on"
fi
sleep 1
if [ "$trouble" = 1 ] || [ "$trouble" = reset ]; then
  touch "$work/reset"
  note "the channel of the next start on i-10 will be reset"
fi
job=5c0e7a21d94b36f8
submit $job '{"spec":"work 600","steps":[{"count":1,"cpu":1800,"mem-mb":2500,"estimate-ms":600,"requirements":"b"}]}' slot ||
  unable "the submission was not accepted"
if [ "$trouble" = 1 ] || [ "$trouble" = reset ]; then
  await 5 test ! -e "$work/reset" || unable "no start reached the minion"
fi
for ((n = 0; n < 60; n++)); do
  sleep 0.5
  call GET /slot/$job
  [[ $answer == *completed* ]] && break
done
started=$(grep -c " start $job" "$work/i-10.events")
note "starts of $job that the minion has begun: $started; last answer: $answer"
if [ "$started" -eq 0 ]; then
  echo "LOST: nothing of $job has run for 30 s, and the minion that may run it is idle"
  exit 1
fi
[[ $answer == *completed* ]] || { echo "LOST: $answer"; exit 1; }
echo "held: $answer"
exit 0
