#!/usr/bin/env bash
# A backend server labels its answers with the id of another attempt. No caller
# may receive such an answer, while answers of the other servers are delivered.
. "$(dirname "$0")/common.sh"
start_all 2 3 2
start_backend 3 lessons 1 --journal="$work/journal-3" --behaviour=crossed
await "the third backend server is live" has_live_backends 3
load --queue=book-lesson --key_file="$work/team.key" --count=600 --concurrency=4 --ids >"$work/load.json" || true
[ "$(json_field "$work/load.json" '.cutOff == 0 and .wrongAnswers == 0')" = true ] || fail "$(cat "$work/load.json")"
[ "$(json_field "$work/load.json" '.outcomes.answered > 0')" = true ] || fail "$(cat "$work/load.json")"
# The faulty server ran attempts, and none of them counts as answered.
[ -s "$work/journal-3" ] || fail "the faulty server ran nothing"
correct_runs=$(cat "$work/journal-1" "$work/journal-2" | awk 'NF > 1 {print $2}' | sort -u | wc -l)
[ "$(json_field "$work/load.json" .outcomes.answered)" -le "$correct_runs" ] || fail "a mislabelled answer was delivered"
[ -z "$(cat "$work"/journal-* | awk 'NF > 1 {print $2}' | sort | uniq -d)" ] || fail "a request ran twice"
