# test: JobTests.RestartedWorker.ARunThatLeavesTheNextProcessesListsIsStartedAgain
# file: Source/Scheduling/DispatcherRuns.cpp
# A listed run has no time of its confirmation.
/CurrentRun.StartAckedAt = SentAt;/d
