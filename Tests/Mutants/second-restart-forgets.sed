# test: JobTests.RestartedWorker.TheBoundOfItsLeasesHoldsOverASecondRestart
# file: Source/Scheduling/DispatcherWorkers.cpp
# The third process of a worker was granted no lease.
/Replacement.RenewedAt = /d
