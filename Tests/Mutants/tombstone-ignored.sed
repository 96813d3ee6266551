# test: FleetTests.JobIntake.ASubmissionAfterItsAcknowledgedCancellationIsNotAccepted
# file: Source/Fleet/JobIntake.cpp
# An id whose cancellation was acknowledged is accepted.
s/^  if (Store.tombstones().covers(/  if (false \&\& Store.tombstones().covers(/
