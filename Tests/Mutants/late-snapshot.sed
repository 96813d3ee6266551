# test: CoreTests.Agreement.AcceptedChangesSurviveFaultsAndNeverRevert
# file: Source/Core/Raft.cpp
# A delayed snapshot discards entries that were acknowledged.
s/^  if (HasMatchingEntry) {/  if (false \&\& HasMatchingEntry) {/
