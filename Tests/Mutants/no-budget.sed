# test: CoreTests.Waves.BudgetsHoldThroughChangesOfLeader
# file: Source/Core/WavePlanner.cpp
# Drains are granted without checking availability budgets.
s/^    if (!Blocking.empty()) {/    if (false) {/
