# test: CoreTests.Waves.CorrelatedLossStopsTheWaveAndItGoesOnAfter
# file: Source/Core/FleetStatus.cpp
# A backend server that is no longer reported still counts as live.
s/^  return Timers.now() - Received.ReceivedAt <= Freshness;/  return true;/
