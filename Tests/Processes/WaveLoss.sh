#!/usr/bin/env bash
# A lost backend server uses up the availability budget of its service. The wave
# must not drain further VMs until the server is back, also after a change of
# leader, and must then complete.
. "$(dirname "$0")/common.sh"
start_all 2 3 3
kill -KILL "${pid_of[backend-3]}"
wait "${pid_of[backend-3]}" 2>/dev/null
await "the loss is detected" has_live_backends 2
ctl wave announce mend vm-1 vm-2 >/dev/null || fail "announce"
# True if the availability budget blocks both VMs of the wave.
wave_is_held() { ctl --output=json show waves | jq -e '[.[] | select(.wave == "mend") | .obstacles[].reason | select(startswith("availability budget"))] | length == 2'; }
# True if no VM except the lost server's is drained or part of a wave in progress.
no_vm_is_drained() { ctl --output=json show fleet | jq -e '[.vms[] | select(.vm != "vm-3")] | all(.state == "up" and (.inWave | not))'; }
await "the wave is held" wave_is_held
no_vm_is_drained || fail "a VM was drained without budget"
frozen_leader=$(leader_vm)
kill -STOP "${pid_of[$frozen_leader]}"
# True if another control VM than the frozen one leads.
leader_has_changed() { local now; now=$(leader_vm); [ -n "$now" ] && [ "$now" != "$frozen_leader" ]; }
await "another control VM leads" leader_has_changed
await "the wave is held by the next leader, too" wave_is_held
no_vm_is_drained || fail "a VM was drained after the change of leader"
kill -CONT "${pid_of[$frozen_leader]}"
start_backend 3 lessons 1 --journal="$work/journal-3"
# True if the wave is complete.
wave_has_ended() { ctl --output=json show waves | jq -e 'any(.[]; .wave == "mend" and .ended)'; }
await "the wave continues and ends" wave_has_ended
