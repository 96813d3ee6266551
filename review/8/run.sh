#!/usr/bin/env bash
# Three lasting submissions whose tasks fail at each start keep every minion of
# the service from all other work.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../common-2.sh"
begin 6 1
failing=" fail=300"
[ "$TROUBLE" = 0 ] && failing=""
for n in 1 2 3; do
  body='{"spec":"ms=0'$failing'","steps":[{"count":5,"cpu":500,"mem-mb":256,"estimate-ms":700,"long-running":true}]}'
  answer=$(requester_until 10 POST 00000000000000f$n "$body") || cannot "not accepted: $answer"
  say "POST 00000000000000f$n of tenant 1, 5 tasks that last$failing: $answer"
done
sleep 12
# The other tenant's work: 20 submissions of 4 tasks of 1 s on half a core.
for n in $(seq 50 69); do
  answer=$($stand_in call POST $net.11:8340 /q1/00000000000000$n $host key-of-tenant-2 '{"spec":"ms=1000","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":1000}]}')
  echo "$(now_ms) requester POST 00000000000000$n of tenant 2: $answer" >>"$record"
  [[ $answer == 2* ]] && echo 00000000000000$n >>"$work/accepted"
done
[ -s "$work/accepted" ] || cannot "nothing of tenant 2 was accepted"
# finish_s, and 3 s and more.
sleep 20
accepted=$(wc -l <"$work/accepted")
waiting=0
for id in $(cat "$work/accepted"); do
  echo "$(now_ms) requester GET $id: $($stand_in call GET $net.11:8340 /q1/$id $host key-of-tenant-2)" >>"$record"
  grep -q " start $id" "$record" || waiting=$((waiting + 1))
done
# All that runs or waits: 15 and 80 tasks, each on half a core.
say "tenant 2: $accepted submissions accepted, $waiting without a start of any task for 20 s; tasks of tenant 2 done: $(grep -c ' end 00000000000000[56].* done$' "$record") of $((accepted * 4)); minions have 192 cores"
[ $waiting -gt 0 ] && { say "LOST is broken"; exit 1; }
say "LOST held"
exit 0
