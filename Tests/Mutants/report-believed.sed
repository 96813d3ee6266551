# test: JobTests.Incarnations.AReportOfALaterStartEndsNothingOnAWorkerThatAnswers
# file: Source/Scheduling/DispatcherWorkers.cpp
# A report of a next process is believed at once.
s/Newest != nullptr \&\& Newest->IsReachable)$/false)/
