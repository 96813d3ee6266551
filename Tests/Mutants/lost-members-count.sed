# test: CoreTests.MembershipPlanner.ALearnerThatIsNotHeardCallsForNoFurtherVoter
# file: Source/Core/MembershipPlanner.cpp
# Members that are lost raise the number of voters.
s/return hasRepliedRecently(M);/return M.Disk != NoDisk;/
