# test: CoreTests.Agreement.AReplacedDiskNeverCostsAnAcceptedChange
# file: Source/Core/Raft.cpp
# A learner is promoted before it holds the log.
s/^         Found->second.MatchIndex >= CommitIndex;/         true;/
