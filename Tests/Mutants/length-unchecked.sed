# test: LinksTests.Http.*
# file: Source/Links/HttpClient.cpp
# A response whose body ends with the connection is accepted as complete.
s/^      !Entry->IsHead \&\& !isBodyDelimited(Entry->Response.Headers, Status);/      false;/
