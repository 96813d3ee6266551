# test: JobTests.WorkerFaults.ARunThatBeganBeforeItsStopArrivedIsNotEnded
# file: Source/Scheduling/DispatcherRuns.cpp
# A stop against a late start is repeated when the run is listed.
s/CurrentRun.IsStoppedInDoubt &&$/false \&\&/
