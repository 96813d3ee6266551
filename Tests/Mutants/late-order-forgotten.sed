# test: JobTests.Maintenance.TheLateOrderOfAnEarlierLeaderTakesNoSecondVmDown
# file: Source/Pools/Maintenance.cpp
# A new leader does not go on with the orders of earlier ones.
s/^  resumeOrders();//
