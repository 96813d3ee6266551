# test: JobTests.RestartedWorker.ARunThatLeavesTheNextProcessesListsIsStartedAgain
# file: Source/Scheduling/DispatcherRuns.cpp
# A listed run has no time of its confirmation.
/IsNeedlesslyStopped) {$/,/^  }/{/CurrentRun.StartAckedAt = /d}
