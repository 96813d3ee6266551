# test: JobTests.RestartedWorker.ANewLeaderWaitsForTheLeasesOfTheNextProcess
# file: Source/Scheduling/Dispatcher.cpp
# A new leader does not know of restarts.
s/Worker.Entry.ReplacedAt <= 0/Worker.Entry.ReplacedAt <= INT64_MAX/
