# test: CoreTests.Leaving.StoppingEntryVmAnswersEveryRequest
# file: Source/Core/EntryCore.cpp
# Requests that are queued on a stopping entry VM are not rerouted.
s/^  rerouteStranded();//
