#!/usr/bin/env bash
# The advice for a queue takes 3.2 s, as the manifest says; the system waits 3 s
# for it and asks again, for ever. Accepted work never runs.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../common-2.sh"
decide=2000 each=100 valid=10000
[ "$TROUBLE" = 0 ] && decide=200 each=10
advice='{"decide-ms":'$decide',"each-ms":'$each',"valid-ms":'$valid'}'
$stand_in advice --listen=$net.201:8344 --decide-ms=$decide --each-ms=$each --valid-ms=$valid --record="$record" &
pid_of[advice]=$!
begin 14 1
ids="00000000000000c1 00000000000000c2"
for id in $ids; do
  body='{"spec":"ms=500","steps":[{"count":1,"cpu":500,"mem-mb":256,"estimate-ms":500}]}'
  answer=$(requester_until 10 POST $id "$body") || cannot "not accepted: $answer"
  say "POST $id: $answer"
done
# finish_s, and 20 s more: three times what two calls for advice on all 14
# minions take, one after the other, and the work.
sleep 34
waiting=0
for id in $ids; do
  say "GET $id: $(requester GET $id)"
  grep -q " start $id" "$record" || { waiting=$((waiting + 1)); say "no minion got the task of $id for 34 s"; }
done
say "the advice was asked for $(grep -c 'advice is asked' "$record") times and answered $(grep -c 'advice answers' "$record") times"
[ $waiting -gt 0 ] && { say "LOST is broken"; exit 1; }
say "LOST held"
exit 0
