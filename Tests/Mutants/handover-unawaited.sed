# test: CoreTests.Keepers.AtMostOneKeeperPerRequestId
# file: Source/Core/RecordKeeper.cpp
# A new keeper accepts ids before the previous keeper has transferred them.
s/^      !Received.contains(\*Previous))/      false)/
