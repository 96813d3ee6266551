#!/usr/bin/env bash
# A submission none of whose runs ends "failed" is shown as failed, because the
# minions that it ran on crashed five times.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../common-2.sh"
begin 7 1
id=00000000000000a9
body='{"spec":"ms=40000 save","steps":[{"count":1,"cpu":500,"mem-mb":256,"estimate-ms":40000,"checkpointing":true}]}'
answer=$(requester_until 10 POST $id "$body") || cannot "the submission was not accepted: $answer"
say "POST $id: $answer"
crashes=0
state=""
end=$(($(now_ms) + 90000))
crash_at=$(($(now_ms) + 7000))
while [ "$(now_ms)" -lt $end ]; do
  answer=$(requester GET $id)
  [ "$answer" = "$state" ] || say "GET $id: $answer"
  state=$answer
  [[ $answer == *completed* || $answer == *failed* ]] && break
  if [ "$TROUBLE" != 0 ] && [ $crashes -lt 5 ] && [ "$(now_ms)" -ge $crash_at ]; then
    # One minion of seven, the one that the task runs on, is down for 3 s.
    worker=$(awk '$3 == "start" { w = substr($2, 3) } $3 == "end" { w = "" } END { print w }' "$record")
    if [ -n "$worker" ]; then
      crashes=$((crashes + 1))
      kill_process worker-$worker
      say "crash $crashes: w-$worker"
      sleep 3
      start_worker $worker
      crash_at=$(($(now_ms) + 6000))
    fi
  fi
  sleep 0.2
done
failed=$(grep -c ' end .* failed$' "$record")
say "crashes: $crashes; runs that ended 'failed': $failed; last answer: $state"
[[ $state == *failed* && $failed -eq 0 ]] && { say "LOST is broken"; exit 1; }
[[ $state == *completed* || $state == *running* ]] || cannot "the state is '$state'"
say "LOST held"
exit 0
