# test: CoreTests.Routing.RestartedKeeperDoesNotRunAnIdAgain
# file: Source/Core/RecordKeeper.cpp
# A keeper that replaces a lost one treats its empty records as complete.
s/^      IncompleteUntil = Timers.now() + Limits.Retention;/      continue;/
