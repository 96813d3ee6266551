# test: CoreTests.Waves.CorrelatedLossStopsTheWaveAndItGoesOnAfter
# file: Source/Core/FleetStatus.cpp
# A backend server that is no longer reported still counts.
s/^  return Timers.now() - Item.At <= Freshness;/  return true;/
