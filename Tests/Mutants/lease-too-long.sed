# test: CoreTests.Agreement.AtMostOneLeaderLease
# file: Source/Core/Raft.cpp
# The leader lease lasts longer than the other members wait before an election.
s/Options.ElectionTimeout \* Options.LeasePercent \/ 100/Options.ElectionTimeout * 6/
