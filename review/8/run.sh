#!/usr/bin/env bash
# Three lasting submissions of sixty, whose tasks fail at each start, keep the
# minions of the service from all other work.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../common-2.sh"
begin 6 1
failing=" fail=300"
[ "$TROUBLE" = 0 ] && failing=""
# 57 lasting submissions of one task on a quarter of a core, and then three more
# within a second, a share of 0.05.
for n in $(seq 101 157); do
  answer=$($stand_in call POST $net.11:8340 /q1/0000000000000$n $host key-of-tenant-3 '{"spec":"ms=0","steps":[{"count":1,"cpu":250,"mem-mb":256,"estimate-ms":700,"long-running":true}]}')
  echo "$(now_ms) requester POST 0000000000000$n of tenant 3: $answer" >>"$record"
  [[ $answer == 2* ]] || cannot "not accepted: $answer"
done
say "57 submissions of tenant 3 with a task that lasts are accepted"
sleep 3
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
# All that runs or waits: 57 tasks on a quarter of a core, 15 and 80 on a half.
say "tenant 2: $accepted submissions accepted, $waiting without a start of any task for 20 s; tasks of tenant 2 done: $(grep -c ' end 00000000000000[56].* done$' "$record") of $((accepted * 4)); minions have 192 cores"
# The failing submissions are cancelled; 20 s later the others have to have run.
for n in 1 2 3; do say "DELETE 00000000000000f$n: $(requester DELETE 00000000000000f$n)"; done
sleep 20
still=0
for id in $(cat "$work/accepted"); do
  grep -q " start $id" "$record" || still=$((still + 1))
done
say "20 s after the failing submissions were cancelled: $still of $accepted without a start of any task"
[ $waiting -gt 0 ] && { say "LOST is broken"; exit 1; }
say "LOST held"
exit 0
