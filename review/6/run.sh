#!/usr/bin/env bash
# A dozen accepted recurring submissions make every leader outgrow its machine.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../common-2.sh"
occurrences=43200 # Once a minute for 30 days.
[ "$TROUBLE" = 0 ] && occurrences=60
begin 3 1
accepted=$work/accepted
start_at=$(($(now_ms) + 3600000))

# The traffic: 16 submissions of one tenant, two a second; each is sent again,
# up to four times, while it is not accepted. It ends after 40 s at the latest.
(
  last=$(($(now_ms) + 40000))
  for id in $(seq 10 25 | sed 's/^/00000000000000/'); do
    body='{"spec":"ms=200","steps":[{"count":1,"cpu":500,"mem-mb":256,"estimate-ms":200}],"repeat-count":'$occurrences',"start-at-ms":'$start_at',"interval-ms":60000}'
    for n in 1 2 3 4 5; do
      [ "$(now_ms)" -lt $last ] || break 2
      answer=$(requester POST $id "$body")
      say "POST $id, repeat-count $occurrences: $answer" >/dev/null
      [[ $answer == 2* ]] && { echo key-of-tenant-1 $id >>"$accepted"; break; }
      sleep 1
    done
    sleep 0.5
  done
  touch "$work/sent"
) &
pid_of[traffic]=$!
until [ -e "$work/sent" ]; do provider; done
[ -s "$accepted" ] || cannot "no submission was accepted"
count=$(wc -l <"$accepted")
ask_for "$accepted" &
pid_of[ask]=$!
until [ -e "$work/asked" ]; do provider; done
open=$(wc -l <"$accepted")
say "accepted: $count; without an answer for 20 s: $open; most memory of a core process: $most MB; ends for memory: ${ended[1]} ${ended[2]} ${ended[3]}"
[ "$open" -gt 0 ] && { say "LOST is broken"; exit 1; }
say "LOST held"
exit 0
