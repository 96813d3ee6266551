# test: CoreTests.Keepers.NeverTwoHomesAtOnce
# file: Source/Core/RecordKeeper.cpp
# A new home takes ids up before the earlier one has handed them over.
s/ \&\& !Received.contains(\*Earlier))/ \&\& false)/
