# test: CoreTests.Routing.OutcomesAreCorrectUnderFaults
# file: Source/Core/EntryCore.cpp
# A refusal after a lost attempt claims that the request did not run.
s/^  if (Pending.MayHaveRun \&\& std::holds_alternative<NotRun>(Result))/  if (false)/
