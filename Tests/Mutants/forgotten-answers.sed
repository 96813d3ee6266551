# test: CoreTests.Agreement.AResendReturnsTheFirstResultAfterRestartsAndSnapshots
# file: Source/Core/FleetState.cpp
# Results of operations are not kept in the replicated state.
s/^  recordOperation(Command.OperationId, {Hash, Result});//
