# test: JobTests.Evacuation.NothingStartsInAnEvacuatedDataCentreUntilItIsTakenBack
# file: Source/Scheduling/Placement.cpp
# Workers of an evacuated data centre get new tasks.
s/!Store.isEvacuated(Worker.Entry.DataCentre)/true/
