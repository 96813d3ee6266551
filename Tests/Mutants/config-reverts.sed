# test: ReplayTests.ConfigurationLease.AnOlderConfigurationNeverReplacesANewerOne
# file: Source/Core/ConfigurationLease.cpp
# An older configuration replaces a newer one.
s/^  if (New \&\& New->AtRevision < Configuration.AtRevision)/  if (false)/
