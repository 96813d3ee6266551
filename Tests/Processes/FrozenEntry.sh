#!/usr/bin/env bash
# An entry VM is frozen while a key is withdrawn. After it continues it must not
# run any work under that key.
. "$(dirname "$0")/common.sh"
start_all 2 1 2
load --queue=book-lesson --key_file="$work/team.key" --count=200 >"$work/before.json"
[ "$(json_field "$work/before.json" .outcomes.answered)" = 200 ] || fail "load before: $(cat "$work/before.json")"
kill -STOP "${pid_of[entry-1]}"
ctl key withdraw "$(key_id)" || fail "withdraw"
await "the other entry VM has the withdrawal" is_in_force_on_reachable_entries
# Requests queue in the socket of the frozen process while its lease expires.
callers="127.0.0.1:$((port + 1))"
load --queue=book-lesson --key_file="$work/team.key" --count=40 --concurrency=40 >"$work/frozen.json" &
loading=$!
sleep 4
runs=$(cat "$work"/journal-* | wc -l)
kill -CONT "${pid_of[entry-1]}"
wait $loading
[ "$(json_field "$work/frozen.json" '.outcomes.answered // 0')" = 0 ] || fail "answered after the freeze: $(cat "$work/frozen.json")"
[ "$(cat "$work"/journal-* | wc -l)" = "$runs" ] || fail "something ran after the freeze"
