# Checks that the tests with crowds of clients share; sourced after $bin, $work
# and $checks_memory are set and the functions fail, await and
# expect_all_within_limits are defined. The checks hold on a machine of any speed:
# life, memory, descriptors, answers.

# Memory of each daemon and descriptors that it may have open, as its settings
# and `ulimit -n` state them.
memory_mb=48
max_descriptors=512
# What a daemon must leave free, for files, links and the next client.
spare_descriptors=32

# Starts a crowd against listener $1; the other arguments are flags of it. Sets
# $crowd.
start_crowd() {
  local address=$1
  shift
  "$bin/Tests/Processes/mimosashunt-test-crowd" --address="$address" "$@" >"$work/crowd.out" 2>"$work/crowd.err" &
  crowd=$!
  pids+=($crowd)
}
crowd_settled() { grep -q settled "$work/crowd.out"; }
# Waits until the crowd has settled and checks the limits while it holds on.
watch_crowd() {
  local n
  await "the crowd has settled" crowd_settled
  for ((n = 0; n < 10; n++)); do
    expect_all_within_limits
    sleep 0.1
  done
}
end_crowd() {
  kill -0 $crowd 2>/dev/null || fail "the crowd ended before it was told to: $(cat "$work/crowd.err")"
  kill -KILL $crowd
  wait $crowd 2>/dev/null
}

# Prints the bytes in the kernel's buffers, received or to be sent, of all
# sockets of listener $1.
buffered_bytes() {
  local ip=${1%:*} a b c d
  IFS=. read -r a b c d <<<"$ip"
  local hex
  hex=$(printf '%02X%02X%02X%02X:%04X' "$d" "$c" "$b" "$a" "${1#*:}")
  awk -v local="$hex" '$2 == local { print $5 }' /proc/net/tcp |
    while IFS=: read -r sent received; do echo $((16#$sent + 16#$received)); done |
    awk '{ sum += $1 } END { print sum + 0 }'
}
# Prints field $2 of the status of process $1, in bytes.
status_bytes() { awk -v field="$2:" '$1 == field { print $2 * 1024 }' "/proc/$1/status"; }

# Fails unless process $1, called $2, runs and stays within its descriptors, and
# with the buffers of its listener $3 within its memory.
expect_within_limits() {
  kill -0 "$1" 2>/dev/null || fail "$2 ended: $(tail -n 2 "$work/$2.log")"
  local open bound
  open=$(ls "/proc/$1/fd" | wc -l)
  bound=$((max_descriptors - spare_descriptors))
  [ "$open" -le $bound ] || fail "$2 has $open descriptors open, more than $bound"
  $checks_memory || return 0
  local resident buffered
  resident=$(status_bytes "$1" VmHWM)
  buffered=$(buffered_bytes "$3")
  bound=$((memory_mb << 20))
  [ $((resident + buffered)) -le $bound ] ||
    fail "$2 holds $resident bytes at its peak and $buffered in buffers of $3, more than $bound"
  held=$((resident + buffered))
}
