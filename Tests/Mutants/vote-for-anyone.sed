# test: CoreTests.Agreement.AcceptedChangesSurviveFaultsAndNeverRevert
# file: Source/Core/Raft.cpp
# Votes are granted without comparing the logs.
s/bool UpToDate = isLogUpToDate(Request.LastIndex, Request.LastTerm)/bool UpToDate = true/
