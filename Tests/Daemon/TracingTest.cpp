// Tests that spans pass on their trace context in the W3C traceparent form.

#include <gtest/gtest.h>

#include "Core/JsonFields.h"
#include "Daemon/Tracing.h"
#include "Support/TemporaryFolder.h"

#include <fstream>

namespace mimosashunt::test {
namespace {

TEST(Tracing, ChildKeepsTraceIdAndParentSpanId) {
  TemporaryFolder Folder;
  std::string File = Folder.file("trace.jsonl");
  {
    Tracing Tracer("test", File, 1);
    SpanPtr Parent = Tracer.start("parent", "");
    std::string Header = Tracer.traceParent(*Parent);
    EXPECT_EQ(Header.size(), 55U);
    SpanPtr Child = Tracer.start("child", Header);
    Child->SetTag("number", 7);
  }
  std::ifstream In(File);
  std::string Line;
  ASSERT_TRUE(std::getline(In, Line));
  Json Child = Json::parse(Line);
  ASSERT_TRUE(std::getline(In, Line));
  Json Parent = Json::parse(Line);
  EXPECT_EQ(Child.at("trace"), Parent.at("trace"));
  EXPECT_EQ(Child.at("parent"), Parent.at("span"));
  EXPECT_EQ(Child.at("tags").at("number"), 7);
}

// Guards against an exception while a span is written: a queue's name in a
// caller's path may be no UTF-8.
TEST(Tracing, TagsThatAreNoUtf8AreWritten) {
  TemporaryFolder Folder;
  std::string File = Folder.file("trace.jsonl");
  Tracing Tracer("test", File, 1);
  Tracer.start("span", "")->SetTag("queue", "a\xff");
  std::string Line;
  std::ifstream In(File);
  ASSERT_TRUE(std::getline(In, Line));
  EXPECT_EQ(Json::parse(Line).at("tags").at("queue"), "a\uFFFD");
}

TEST(Tracing, MalformedHeaderStartsNewTrace) {
  Tracing Tracer("test", "", 1);
  for (const char *Bad : {"", "00-x",
                          "zz-00000000000000000000000000000001-"
                          "0000000000000001-01"})
    EXPECT_EQ(Tracer.traceParent(*Tracer.start("span", Bad)).size(), 55U);
}

} // namespace
} // namespace mimosashunt::test
