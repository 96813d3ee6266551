# test: CoreTests.Leaving.BackendServerGetsNoAttemptsAfterThreeSeconds
# file: Source/Core/SessionTable.cpp
# A leave notice has no effect.
s/^  if (!isLive(S) || S.Latest.Leaving)/  if (!isLive(S))/
