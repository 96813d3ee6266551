#!/usr/bin/env bash
# The leader is killed repeatedly. No accepted change may be lost, and a resend
# under the same operation id must get its original answer.
. "$(dirname "$0")/common.sh"
snapshot_every=10
start_all 1 3 0
for round in 1 2 3; do
  for n in 1 2 3 4 5 6; do
    ctl pool make "pool-$round-$n" --operation_id="op-$round-$n" --patience_ms=60000 ||
      fail "pool-$round-$n"
  done
  killed=$(leader_vm)
  [ -n "$killed" ] || fail "no leader"
  kill -KILL "${pid_of[$killed]}"
  wait "${pid_of[$killed]}" 2>/dev/null
  # Resending the same operation returns its original answer, not a conflict.
  ctl pool make "pool-$round-6" --operation_id="op-$round-6" --patience_ms=60000 ||
    fail "the resend of op-$round-6 was not answered as before"
  # A different operation with the same name is a conflict.
  ctl pool make "pool-$round-6" --patience_ms=60000 2>/dev/null
  [ $? -eq 3 ] || fail "a second pool of the same name was not a conflict"
  start_control "${killed#control-}"
  await "the killed VM answers again" curl -sf "127.0.0.1:$((port + 60 + ${killed#control-}))/healthz"
done
for round in 1 2 3; do for n in 1 2 3 4 5 6; do
  ctl vm add "vm-$round-$n" "pool-$round-$n" a r --patience_ms=60000 || fail "pool-$round-$n is lost"
done; done
