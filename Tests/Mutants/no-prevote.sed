# test: CoreTests.Agreement.AnIsolatedVoterDoesNotUnseatTheLeader
# file: Source/Core/Raft.cpp
# An isolated voter raises its term at each election timeout.
s/startElection(\/\*PreVote=\*\/true)/startElection(false)/
