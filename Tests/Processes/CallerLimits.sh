#!/usr/bin/env bash
# Each limit of callers' requests holds at its value and not one byte beyond: those
# of the settings until there is a configuration, those that the configuration in
# force names after that. A refused request with a long path is logged in short.
set -u
bin=$1
net=$2
work=$(mktemp -d)
script_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$script_dir/../../Utilities/jobfleet.sh"
trap 'status=$?; end_jobs; [ $status -eq 0 ] || tail -n 5 "$work"/*.log | cut -c 1-300; rm -rf "$work"' EXIT

callers="127.0.$net.101:7300"
jobs=0
# Uploads the configuration that jq filter $1 makes of the usual one.
upload() {
  jq "$1" "$script_dir/../Platform/OneQueue.json" >"$work/configuration.json"
  [ "$(curl -s -o /dev/null -w '%{http_code}' -m 5 -d @"$work/configuration.json" "127.0.$net.1:7400/mimosashunt/config/replace")" = 200 ]
}
# Prints the status of a job whose body has $1 bytes and whose head has the
# further header $2.
submit() {
  jobs=$((jobs + 1))
  local job='{"spec":"text","steps":[{"count":1,"cpu":100,"mem-mb":64,"estimate-ms":100}]}'
  printf "%-$1s" "$job" >"$work/body"
  curl -s -o /dev/null -w '%{http_code}' -m 20 -H 'host: q.example' -H 'expect:' ${2:+-H "$2"} \
    --data-binary @"$work/body" "$callers/q/$(printf '%016x' $jobs)"
}
# True if a job with a body of $1 bytes gets status $2.
gets() { [ "$(submit "$1")" = "$2" ]; }
# Prints the status of a GET whose head has $1 bytes.
head_status() {
  local start=$'GET /q/ HTTP/1.1\r\nhost: q.example\r\nconnection: close\r\nx-fill: '
  exec 3<>"/dev/tcp/127.0.$net.101/7300" || return 1
  printf '%s%s\r\n\r\n' "$start" "$(printf "%$(($1 - ${#start} - 4))s" | tr ' ' f)" >&3
  timeout 20 head -n 1 <&3 | cut -d ' ' -f 2
  exec 3>&-
}
# Fails unless a head of $1 bytes gets status $2.
expect_head() {
  local status
  status=$(head_status "$1")
  [ "$status" = "$2" ] || fail "a head of $1 bytes gets $status instead of $2"
}
# Fails unless a body of $1 bytes gets status $2.
expect_body() {
  local status
  status=$(submit "$1")
  [ "$status" = "$2" ] || fail "a body of $1 bytes gets $status instead of $2"
}

prepare_jobs 3 1
jq '.maxBodyBytes = 1000 | .maxHeaderBytes = 2000' "$work/entry-1.json" >"$work/entry-1.tmp" && mv "$work/entry-1.tmp" "$work/entry-1.json"
start_jobs 3 1
await "the gateway listens" gets 1000 503
expect_body 1001 413
expect_head 2000 503
expect_head 2001 431

await "the configuration is accepted" upload .
await "a job is accepted" gets 200 200
expect_body 262144 200
expect_body 262145 413
expect_head 16384 200
expect_head 16385 431

await "a further configuration is accepted" upload '.version = 2 | .limits = {"max-body-bytes": 3000, "max-header-bytes": 4000}'
await "a body beyond the new limit is refused" gets 3001 413
expect_body 3000 200
expect_head 4000 200
expect_head 4001 431

curl -s -o /dev/null -m 5 "$callers/$(printf '%03000d' 0)"
logged() { grep -q '"event":"call_refused"' "$work/entry-1.log"; }
await "a refused request is logged" logged
longest=$(awk '{ if (length > most) most = length } END { print most }' "$work/entry-1.log")
[ "$longest" -lt 1000 ] || fail "a line of the log has $longest bytes"
echo "passed"
