# test: CoreTests.Pools.RacingMovesLeaveAVmInOnePool
# file: Source/Core/FleetState.cpp
# A move does not check the pool that the VM leaves.
s/^  if (Found->second.Pool != Action.From)/  if (false)/
