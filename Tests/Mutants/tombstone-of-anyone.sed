# test: FleetTests.JobIntake.ACancellationIsForTheOwnersSubmissionsAlone
# file: Source/Fleet/JobIntake.cpp
# A cancellation by any organisation keeps an id from being accepted.
s/IsPublic ? std::string() : Request.Organisation/std::string()/
