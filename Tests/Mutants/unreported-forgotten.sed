# test: JobTests.RestartedWorker.ANewLeaderWaitsForTheLeasesOfAnUnreportedProcess
# file: Source/Scheduling/DispatcherWorkers.cpp
# A restart is in the replicated state only once the next process reports.
/Command.Workers.front().ReplacedAt = Hooks.WallNow();/d
