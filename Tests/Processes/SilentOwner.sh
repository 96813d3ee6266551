#!/usr/bin/env bash
# The entry VM that owns a backend server's slots is killed. The server must
# announce itself to the other entry VM, work must continue, and no request may
# run twice.
. "$(dirname "$0")/common.sh"
start_all 2 1 0
# Both backend servers can announce themselves to either entry VM.
for n in 1 2; do
  launch backend-$n Utilities/StandIns/mimosashunt-standin-backend --name=lessons-$n --service=lessons \
    --vm=vm-$n --listen="127.0.0.1:$((port + 200 + n))" --journal="$work/journal-$n" \
    --entries="127.0.0.1:$((port + 21)),127.0.0.1:$((port + 22))" --platform="127.0.0.1:$((port + 80))"
done
# True if 20 open requests are all answered.
open_load_is_answered() { load --queue=timetable --count=20 >"$work/open.json"; [ "$(json_field "$work/open.json" .outcomes.answered)" = 20 ]; }
await "work is answered" open_load_is_answered
load --queue=timetable --count=1000000 --concurrency=6 --pause_ms=5 --seconds=6 --ids >"$work/load.json" &
loading=$!
sleep 1
kill -KILL "${pid_of[entry-1]}"
wait "${pid_of[entry-1]}" 2>/dev/null
wait $loading
[ "$(json_field "$work/load.json" .wrongAnswers)" = 0 ] || fail "$(cat "$work/load.json")"
callers="127.0.0.1:$((port + 2))"
await "all work is answered by the other entry VM" open_load_is_answered
[ -z "$(cat "$work"/journal-* | awk 'NF > 1 {print $2}' | sort | uniq -d)" ] || fail "a request ran twice"
