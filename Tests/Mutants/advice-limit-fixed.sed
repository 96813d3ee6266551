# test: JobTests.Advice.AnAnswerThatTakesLongByItsPolicyIsWaitedFor
# file: Source/Scheduling/AdviceQueue.cpp
# The time limit of a call does not follow from its policy.
s/^  Duration Limit = .*/  Duration Limit = std::min<Duration>(Stated, seconds(2));/
