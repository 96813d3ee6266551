# test: CoreTests.Keys.AnEntryVmCutFromControlStopsUsingKeys
# file: Source/Core/ConfigurationLease.cpp
# Keys are accepted after the lease has expired.
s/^  if (!isValid())$/  if (false)/
