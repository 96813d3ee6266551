# test: JobTests.WorkBudget.MemoryIsFreeAgainOnceAJobHasEnded
# file: Source/Scheduling/Dispatcher.cpp
# The memory of an ended job stays reserved.
/The caller.s id may be the key/{n;s/.*//}
