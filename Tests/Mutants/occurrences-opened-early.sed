# test: JobTests.RecurringJobs.TakeNoMemoryForOccurrencesThatAreNotDue
# file: Source/Scheduling/JobProgress.cpp
# All occurrences of a job are open from its acceptance on.
s/^         Occurrences.size() < Most .*/         Occurrences.size() < Most + Until)/
