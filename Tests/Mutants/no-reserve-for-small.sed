# test: LinksTests.ConnectionBudget.SmallRequestsKeepAReserve
# file: Source/Links/ConnectionBudget.h
# Large requests may use all of the memory.
s/return Limits.Bytes \* 3 \/ 4;/return Limits.Bytes;/
