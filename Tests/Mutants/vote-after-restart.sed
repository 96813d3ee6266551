# test: CoreTests.Agreement.AtMostOneLeaderLease
# file: Source/Core/Raft.cpp
# Members vote although they heard from the leader recently.
s/^  if (Vote \&\& hasRecentLeader())/  if (false)/
