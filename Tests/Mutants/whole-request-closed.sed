# test: LinksTests.ConnectionBudget.NeverExceedsItsLimits
# file: Source/Links/ConnectionBudget.h
# A whole request gives way like any other connection.
s/return Phase != ConnectionPhase::Handling;/return true;/
