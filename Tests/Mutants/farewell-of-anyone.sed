# test: JobTests.Incarnations.ALateDeregistrationTakesNoLaterProcessAway
# file: Source/Scheduling/DispatcherWorkers.cpp
# Any process of a worker says farewell for all.
s/(Incarnation && \*Incarnation != Worker->key().Incarnation)/false/
