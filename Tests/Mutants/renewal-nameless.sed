# test: JobTests.LeaseRenewal.ARenewalTellsThatAWorkerHasRestarted
# file: Source/Scheduling/DispatcherRuns.cpp
# A renewal does not tell which process has answered.
s/return onRestarted(\*Renewed, Response.Incarnation);/return handleFailedPoll(*Renewed, Response.Outcome, true);/
