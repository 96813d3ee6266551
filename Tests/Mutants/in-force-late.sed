# test: CoreTests.Agreement.AChangeIsInForceWithinTwoSecondsWhereReachable
# file: Source/Core/ControlCore.cpp
# A changed configuration is not sent to an entry VM that already has one.
s/^  if (Report.ActiveRevision != State.configurationRevision() ||$/  if (/
