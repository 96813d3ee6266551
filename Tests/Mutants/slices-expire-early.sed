# test: CoreTests.Limits.NeverExceededUnderFaults
# file: Source/Core/FleetStatus.cpp
# A report erases the times of the last reports of all other runs.
s/^  LastReportAt\[Report.Run\] = Timers.now();/  LastReportAt.clear(); LastReportAt[Report.Run] = Timers.now();/
