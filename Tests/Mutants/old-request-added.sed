# test: CoreTests.MembershipPlanner.ACandidateThatHasStoppedAskingIsNotAdded
# file: Source/Core/MembershipPlanner.cpp
# A request to join never ages.
s/View.Now - Request.ReceivedAt <= Options.JoinRequestLifetime/true/
