// Tests of the structured log (it never blocks and counts dropped lines), of
// the explain command, which collects the history of an id from logs, and of
// the settings of the job path's daemons.

#include "Fleet/EventLog.h"
#include "Ctl/ExplainCommand.h"
#include "Daemon/Settings.h"
#include "Fleet/FleetSettings.h"
#include "Support/TemporaryFolder.h"

#include <fcntl.h>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

using namespace mimosashunt;

namespace {

std::string fileText(const std::string &Path) {
  std::ifstream In(Path);
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

const std::string Folder = std::string(MIMOSASHUNT_TESTS) + "/Fleet/Logs/";

TEST(EventLog, DropsAndCountsLinesWhenPipeIsFull) {
  int PipeEnds[2];
  ASSERT_EQ(pipe(PipeEnds), 0);
  {
    EventLog Log("vm", "control", "info", PipeEnds[1]);
    std::string Long(2000, 'x');
    // Far more than the pipe and the buffer hold. Two event names keep each one
    // within the rate limit.
    for (int I = 0; I < 2000; ++I) {
      Log.log(I % 2 == 0 ? "even" : "odd", {{"text", Long}});
      Log.flush();
    }
    EXPECT_GT(Log.droppedLines(), 100U);
    EXPECT_GT(Log.writtenBytes(), 0U);
    // Once the reader reads again, the buffered lines are written.
    std::string Chunk(1 << 16, '\0');
    fcntl(PipeEnds[0], F_SETFL, O_NONBLOCK);
    uint64_t Before = Log.writtenBytes();
    while (read(PipeEnds[0], Chunk.data(), Chunk.size()) > 0)
      Log.flush();
    EXPECT_GT(Log.writtenBytes(), Before);
  }
  close(PipeEnds[0]);
  close(PipeEnds[1]);
}

TEST(EventLog, LimitsRateOfOneEventNameOnly) {
  test::TemporaryFolder Directory;
  std::string Path = Directory.path() + "/log";
  int Descriptor = open(Path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  ASSERT_GE(Descriptor, 0);
  {
    EventLog Log("vm", "control", "info", Descriptor);
    for (int I = 0; I < 1500; ++I)
      Log.log("flood", {{"n", I}});
    Log.log("rare");
    Log.flush();
    EXPECT_GE(Log.droppedLines(), 1U);
  }
  close(Descriptor);
  EXPECT_NE(fileText(Path).find(R"("event":"rare")"), std::string::npos);
}

// A line is UTF-8 whatever the locale is; bytes that are none are replaced.
TEST(EventLog, KeepsTheBytesOfItsFields) {
  test::TemporaryFolder Directory;
  std::string Path = Directory.path() + "/log";
  int Descriptor = open(Path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  ASSERT_GE(Descriptor, 0);
  Json Fields = {{"organisation", "Stall Gr\u00fcn \u2603"},
                 {"text", "a \"quote\", 100% {} \n"},
                 {"count", 3}};
  {
    EventLog Log("vm", "control", "info", Descriptor);
    Log.log("first", Fields);
    Log.log("second", {{"text", "\xff"}});
    Log.log("first", Fields);
  }
  close(Descriptor);
  std::istringstream Lines(fileText(Path));
  std::string Line;
  for (const char *Event : {"first", "second", "first"}) {
    ASSERT_TRUE(std::getline(Lines, Line));
    Json Read = Json::parse(Line);
    Json Expected =
        Event == std::string("first") ? Fields : Json{{"text", "\xef\xbf\xbd"}};
    Expected["at"] = Read.at("at");
    Expected["vm"] = "vm";
    Expected["role"] = "control";
    Expected["event"] = Event;
    EXPECT_EQ(Line, Expected.dump());
  }
  EXPECT_FALSE(std::getline(Lines, Line));
}

TEST(Explain, PrintsHistoryOfJobInOrder) {
  std::ifstream First(Folder + "lost-start.control.log");
  std::ifstream Second(Folder + "lost-start.entry.log");
  std::ostringstream Out;
  EXPECT_TRUE(explain("99c5475561e8062f", {&First, &Second}, Out));
  EXPECT_EQ(Out.str(), fileText(Folder + "lost-start.expected"));
}

TEST(Explain, ReportsThatNoLineMentionsTheId) {
  std::istringstream In("no json\n{\"event\":\"started\",\"at\":1}\n");
  std::ostringstream Out;
  EXPECT_FALSE(explain("nobody", {&In}, Out));
  EXPECT_EQ(Out.str(), "no line mentions nobody\n"
                       "1 lines are no events and were passed over\n");
}

Json validSettings() {
  return {{"vm", "c1"},
          {"dataCentre", "dc"},
          {"internalListen", "10.0.0.1:7000"},
          {"seeds", {"10.0.0.1:8345", "10.0.0.2:8345"}},
          {"controlListen", "10.0.0.1:8345"},
          {"dataFolder", "/data"},
          {"firstStart", true}};
}

TEST(FleetSettings, ReadsAndDerivesAddresses) {
  FleetSettings Settings;
  std::string Diagnostic;
  SchemaFault Fault;
  ASSERT_TRUE(conforms(validSettings(), FleetSettings::schema(), Fault));
  ASSERT_TRUE(FleetSettings::read(validSettings(), Settings, Diagnostic));
  EXPECT_EQ(Settings.seedInternalAddresses(),
            (std::vector<std::string>{"10.0.0.1:7000", "10.0.0.2:7000"}));
  EXPECT_EQ(Settings.controlAddressOf("10.0.0.9:7000"), "10.0.0.9:8345");
}

TEST(FleetSettings, ErrorsNameTheKey) {
  SchemaFault Fault;
  Json Invalid = validSettings();
  Invalid["seeds"] = {"nowhere"};
  EXPECT_FALSE(conforms(Invalid, FleetSettings::schema(), Fault));
  EXPECT_EQ(Fault.Key, "seeds.0");
  Invalid = validSettings();
  Invalid["graceSeconds"] = "six";
  EXPECT_FALSE(conforms(Invalid, FleetSettings::schema(), Fault));
  EXPECT_EQ(Fault.Key, "graceSeconds");
  Invalid = validSettings();
  Invalid.erase("dataFolder");
  FleetSettings Settings;
  std::string Diagnostic;
  EXPECT_FALSE(FleetSettings::read(Invalid, Settings, Diagnostic));
  EXPECT_NE(Diagnostic.find("dataFolder"), std::string::npos);
}

} // namespace
