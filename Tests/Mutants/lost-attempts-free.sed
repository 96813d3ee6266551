# test: CoreTests.Limits.NeverExceededUnderFaults
# file: Source/Core/EntryCore.cpp
# A lost attempt frees its slot at once.
s/^    Id = Sessions.markLost(Attempt);/    { Id = Sessions.markLost(Attempt); if (auto Ended = Sessions.endAttempt(Attempt)) releaseTeamSlot(*Ended); }/
