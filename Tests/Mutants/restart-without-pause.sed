# test: JobTests.FailingTasks.LastingTasksThatFailAtOnceAreStartedEverLessOften
# file: Source/Scheduling/FailureBlame.cpp
# Lasting tasks that fail are started again at once.
s/^  return doubledPause(.*/  return Duration::zero();/
