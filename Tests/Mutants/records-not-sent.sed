# test: CoreTests.Keepers.AStoppingKeeperTransfersItsRecords
# file: Source/Core/RecordKeeper.cpp
# A stopping keeper reports its transfers as done but sends no records.
s/^      \[this\](const std::string &RequestId) { queueForKeeper(RequestId); });/      [](const std::string \&) {});/
