#!/usr/bin/env bash
# A control VM that restarts with an empty disk joins as a learner and becomes a
# voter later. The next disk is lost right after that; no accepted change may be
# lost.
. "$(dirname "$0")/common.sh"
snapshot_every=10
start_all 1 3 0
# Prints the disk id of control VM $1.
disk_of() { ctl --output=json show fleet | jq -r --arg vm "$1" '.control[] | select(.vm == $vm) | .disk'; }
for round in 1 2 3; do
  for n in 1 2 3 4 5; do ctl pool make "pool-$round-$n" --patience_ms=60000 || fail "pool"; done
  lost_disk=$(disk_of "control-$round")
  kill -KILL "${pid_of[control-$round]}"
  wait "${pid_of[control-$round]}" 2>/dev/null
  rm -rf "$work/disk-$round"
  start_control $round
  # True if there are three voters and the new disk is one of them. The disk id is
  # compared because right after the kill the lost disk is still listed as a voter
  # that answered recently.
  new_disk_votes() {
    ctl --output=json show fleet | jq -e --arg vm "control-$round" --arg lost "$lost_disk" \
      '([.control[] | select(.role == "voter")] | length) == 3 and
       any(.control[]; .vm == $vm and .disk != $lost and .role == "voter" and
           .silentMillis != null and .silentMillis < 2000)'
  }
  await "control-$round votes again" new_disk_votes
done
for round in 1 2 3; do for n in 1 2 3 4 5; do
  ctl pool make "pool-$round-$n" --patience_ms=60000 2>/dev/null
  [ $? -eq 3 ] || fail "pool-$round-$n is lost"
done; done
