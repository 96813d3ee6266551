# test: CoreTests.Keys.AWithdrawnKeyStopsWithinSeconds
# file: Source/Core/EntryCore.cpp
# A key is checked on arrival only, not at dispatch nor when the bytes are sent.
s/^  if (auto Reason = Lease.authorise(Pending.Request, Open, Team)) {/  if (auto Reason = Lease.authorise(Pending.Request, Open, Team); false) {/
s/^         !Lease.authorise(Pending.Request, Pending.Team.empty(), Team);/         true;/
