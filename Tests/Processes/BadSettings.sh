#!/usr/bin/env bash
# A daemon with invalid settings, or with a data folder that belongs to another VM
# or is damaged, exits before it listens, with a one-line error and status 2.
. "$(dirname "$0")/common.sh"
prepare_fleet 1 1
# Runs program $2 with settings file $1 and fails unless it exits with status 2 and
# one line that matches $3.
expect_exit() {
  "$bin/$2" --settings="$work/$1" >"$work/out" 2>&1
  [ $? -eq 2 ] || fail "$1: status"
  [ "$(wc -l <"$work/out")" -eq 1 ] || fail "$1: more than one line"
  grep -q -- "$3" "$work/out" || fail "$1: $(cat "$work/out")"
}
entry=Source/Entry/mimosashunt-entry
control=Source/Control/mimosashunt-control
jq '.colour = "red"' "$work/entry-1.json" >"$work/unknown.json"
expect_exit unknown.json $entry "key 'colour'"
jq 'del(.control)' "$work/entry-1.json" >"$work/missing.json"
expect_exit missing.json $entry "key 'control': missing"
jq '.listen = "here"' "$work/entry-1.json" >"$work/address.json"
expect_exit address.json $entry "key 'listen': not an address"
jq '.entriesPerSnapshot = "many"' "$work/control-1.json" >"$work/type.json"
expect_exit type.json $control "key 'entriesPerSnapshot': wrong type"
mkdir "$work/disk-1"
echo '{"vm": "another", "disk": 7}' >"$work/disk-1/identity.json"
expect_exit control-1.json $control "belongs to another VM"
rm -r "$work/disk-1"
start_control 1
await "the control group is bootstrapped" bootstrap_group
stop_process control-1 || fail "stop"
printf 'x' | dd of="$work/disk-1/log" bs=1 seek=30 conv=notrunc 2>/dev/null
ctl pool make x --patience_ms=1 >/dev/null 2>&1
expect_exit control-1.json $control "damaged"
