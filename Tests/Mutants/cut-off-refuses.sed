# test: CoreTests.CutOff.OpenRequestsAreServedAndKeyedOnesRefusedAtOnce
# file: Source/Core/EntryCore.cpp
# After the lease has expired, requests without a key are refused, too.
s/^    bool Unconfigured = Lease.activeRevision() == 0;/    bool Unconfigured = true;/
s/^  if (!Match) {/  if (!Match || !Lease.isValid()) {/
