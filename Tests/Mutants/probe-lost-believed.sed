# test: JobTests.Incarnations.AReportOfALaterStartEndsNothingWhenItsProbeIsLost
# file: Source/Scheduling/DispatcherWorkers.cpp
# A probe that is not answered confirms a report.
s/Newest->key() == Key \&\& Newest->IsReachable)/Response.Outcome == OrderOutcome::Accepted)/
