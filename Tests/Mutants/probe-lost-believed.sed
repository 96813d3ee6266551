# test: JobTests.Incarnations.AReportOfALaterStartEndsNothingWhenItsProbeIsLost
# file: Source/Scheduling/DispatcherWorkers.cpp
# A probe that is not answered confirms a report.
s/^    TrackedWorker \*Newest = Table.findLatest(Key.Id);$/&\n    if (Newest != nullptr \&\& Response.Outcome == OrderOutcome::Unanswered)\n      Newest->IsReachable = false;/
