# test: CoreTests.Limits.NeverExceededUnderFaults
# file: Source/Core/FleetStatus.cpp
# A later report erases when the earlier run was heard.
s/^  LastHeard\[Report.Run\] = Timers.now();/  LastHeard.clear(); LastHeard[Report.Run] = Timers.now();/
