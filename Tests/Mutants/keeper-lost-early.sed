# test: CoreTests.Keepers.AtMostOneKeeperPerRequestId
# file: Source/Core/KeeperPlanner.cpp
# A silent keeper is replaced while it may still hold its lease.
s/ > LossTimeout)/ > milliseconds(600))/
