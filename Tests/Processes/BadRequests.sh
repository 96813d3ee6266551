#!/usr/bin/env bash
# Daemons answer oversized and malformed requests with 413 or 400 and keep
# serving. An invalid document is rejected with the name of the wrong field.
. "$(dirname "$0")/common.sh"
start_all 1 1 0
# Sends the raw bytes $2 to port $1 and prints the status line of the response.
status_line() {
  exec 3<>"/dev/tcp/127.0.0.1/$1" || return 1
  printf "$2" >&3
  timeout 10 head -n 1 <&3 | tr -d '\r'
  exec 3>&-
}
# Fails unless the bytes $3 sent to port $1 get a response with status $2.
expect_status() {
  local line
  line=$(status_line "$1" "$3")
  case $line in "HTTP/1.1 $2 "*) ;; *) fail "port $1: '$line' instead of $2" ;; esac
}
for listen_port in $((port + 1)) $((port + 21)) $((port + 61)); do
  expect_status $listen_port 413 'POST /v1/queues/timetable/x HTTP/1.1\r\nhost: a\r\ncontent-length: 100000000\r\n\r\nabc'
  expect_status $listen_port 400 'POST /v1/queues/timetable/x HTTP/1.1\r\nhost: a\r\ncontent-length: -5\r\n\r\n'
  expect_status $listen_port 400 'NONSENSE\r\n\r\n'
  expect_status $listen_port 200 'GET /healthz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n'
done
expect_status $((port + 21)) 400 'POST /v1/records HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc'
expect_status $((port + 21)) 400 'POST /v1/backend-servers HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc'
echo '{"team": "guides", "share": "many", "limit": 1, "services": []}' >"$work/bad.json"
ctl apply "$work/bad.json" >"$work/bad.out" 2>&1 && fail "an invalid document was accepted"
grep -q share "$work/bad.out" || fail "the field is not named: $(cat "$work/bad.out")"
