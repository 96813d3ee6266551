# test: JobTests.WorkBudget.AnOrganisationCannotUseUpTheGuaranteesOfOthers
# file: Source/Scheduling/WorkBudget.cpp
# An organisation may use what is guaranteed to others.
s/^  return guaranteeOf(Organisation) + Left \/ 2;/  return Bytes;/
