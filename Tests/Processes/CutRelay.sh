#!/usr/bin/env bash
# The connections of an entry VM to control go silent. While it is cut off it
# refuses keyed work and serves open work. Afterwards the old connections stay
# silent and only new ones work: the entry VM must replace them and rejoin.
. "$(dirname "$0")/common.sh"
prepare_fleet 1 1
# Route the entry VM's connections to control through a relay.
jq --arg a "127.0.0.1:$((port + 90))" '.control = [$a]' "$work/entry-1.json" >"$work/x" && mv "$work/x" "$work/entry-1.json"
launch relay Tests/Processes/mimosashunt-test-relay --listen=$((port + 90)) --target=$((port + 41))
# Keep the edited settings when start_all prepares the fleet again.
entry_settings() { :; }
start_all 1 1 1
# True if five keyed requests all end with outcome $1.
keyed_load_ends() { load --queue=book-lesson --key_file="$work/team.key" --count=5 >"$work/keyed.json"; [ "$(json_field "$work/keyed.json" ".outcomes[\"$1\"] // 0")" = 5 ]; }
open_load_is_answered() { load --queue=timetable --count=5 >"$work/open.json"; [ "$(json_field "$work/open.json" .outcomes.answered)" = 5 ]; }
keyed_load_ends answered || fail "keyed work before the cut"
kill -USR1 "${pid_of[relay]}"
await "keyed work is refused as not run" keyed_load_ends not-run.lease-lapsed
open_load_is_answered || fail "open work during the cut: $(cat "$work/open.json")"
ctl pool make office || fail "a change during the cut"
before=$(curl -s "127.0.0.1:$((port + 21))/metrics" | sed -n 's/^mimosashunt_configuration_revision //p')
kill -USR2 "${pid_of[relay]}"
await "keyed work is accepted again" keyed_load_ends answered
after=$(curl -s "127.0.0.1:$((port + 21))/metrics" | sed -n 's/^mimosashunt_configuration_revision //p')
[ "$after" -ge "$before" ] || fail "the configuration went back from $before to $after"
