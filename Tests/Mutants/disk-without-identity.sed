# test: CoreTests.Agreement.AReplacedDiskNeverCostsAnAcceptedChange
# file: Tests/Support/VirtualFleet.cpp
# A new, empty disk rejoins under the identity of the lost disk.
/^  Node.Disk = std::make_unique<MemoryLog>();$/,/^}/s/^  Node.DiskIdentity = ++LastDiskIdentity;$//
