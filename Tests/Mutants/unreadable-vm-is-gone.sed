# test: JobTests.Maintenance.AWaveWaitsForAVmWhoseEntryCannotBeRead
# file: Source/Pools/Maintenance.cpp
# A VM whose entry cannot be read counts as missing from the list.
s/^          List.UnreadableVms.count(Vm))/          false)/
