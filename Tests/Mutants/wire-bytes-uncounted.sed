# test: LinksTests.HttpLimits.EndlessChunkHeadsEnd
# file: Source/Links/ServerConnections.cpp
# The bytes of chunk heads are not counted.
s/^    Item.WireBytes += .*/    ;/
