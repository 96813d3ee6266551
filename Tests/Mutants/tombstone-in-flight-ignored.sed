# test: FleetTests.JobIntake.ASubmissionBehindACancellationInFlightIsRefused
# file: Source/Fleet/JobIntake.cpp
# A submission is proposed behind a tombstone that is not applied yet.
s/^  if (isBeingCancelled(Request))/  if (false)/
