# test: JobTests.FailingTasks.StepsThatFailEverywhereEjectFewWorkersOnce
# file: Source/Scheduling/FailureBlame.cpp
# Each failure counts against its worker.
s/^  return Evidence.WorkersOfTask >= .*/  return Evidence.WorkersOfTask > 1000000 ||/;s/^         Evidence.WorkersOfStep >= .*/         Evidence.WorkersOfStep > 1000000;/
