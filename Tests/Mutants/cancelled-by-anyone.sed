# test: FleetTests.JobIntake.AJobIsCancelledByItsOwnerAlone
# file: Source/Fleet/JobIntake.cpp
# A job is cancelled by any caller that knows its id.
s/^    if (!mayCancel(Request, {Record/    if (false \&\& !mayCancel(Request, {Record/
