# test: LinksTests.ConnectionBudget.NeverExceedsItsLimits
# file: Source/Links/ConnectionBudget.cpp
# No connection gives way for its bytes.
s/^  while (isOver() || isOverWithLarge()) {/  while (false) {/
