#!/usr/bin/env bash
# An entry VM is killed and restarts without its memory. The team's limit must
# hold across the fleet, and the entry VM's share of it must be usable again.
. "$(dirname "$0")/common.sh"
team_limit=6
backend_flags=--work_ms=40
start_all 2 3 3
load --queue=book-lesson --key_file="$work/team.key" --post=false --count=1000000 --concurrency=24 --seconds=8 >"$work/load.json" &
loading=$!
sleep 2
kill -KILL "${pid_of[entry-1]}"
wait "${pid_of[entry-1]}" 2>/dev/null
start_entry 1
wait $loading
[ "$(json_field "$work/load.json" .wrongAnswers)" = 0 ] || fail "$(cat "$work/load.json")"
[ "$(json_field "$work/load.json" '.outcomes.answered > 0')" = true ] || fail "$(cat "$work/load.json")"
# Compute the largest number of concurrent runs. At equal times, ends sort before
# starts.
max_running=$(cat "$work"/times-* | awk '{print $1, "s"; print $2, "e"}' | sort -k1,1n -k2,2 |
  awk '$2 == "s" {if (++n > max_running) max_running = n} $2 == "e" {n--} END {print max_running + 0}')
[ "$max_running" -gt 0 ] || fail "nothing ran"
[ "$max_running" -le $team_limit ] || fail "$max_running runs at once, above the limit of $team_limit"
# True if the slices of all entry VMs add up to the limit.
limit_is_fully_sliced() { [ "$(ctl --output=json show fleet | jq '.teams[0].sliced')" -eq $team_limit ]; }
await "the whole limit is in use again" limit_is_fully_sliced
