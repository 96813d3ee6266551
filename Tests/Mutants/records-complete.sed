# test: CoreTests.Routing.ARestartedHomeDoesNotRunAnIdAgain
# file: Source/Core/RecordKeeper.cpp
# A home that replaces a lost one takes its empty records for complete.
s/^      IncompleteUntil = Timers.now() + Limits.Retention;/      continue;/
