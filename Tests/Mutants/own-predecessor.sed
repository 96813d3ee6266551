# test: JobTests.RestartedWorker.TheBoundOfItsLeasesHoldsOverASecondRestart
# file: Source/Scheduling/DispatcherWorkers.cpp
# A process that comes back counts as replaced by itself.
/std::erase(Predecessors, Next.Key);/d
