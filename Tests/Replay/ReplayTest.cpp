// Applies the commands in Traces/*.jsonl to a fleet state and compares each
// result with the one that the trace states.

#include <gtest/gtest.h>

#include "Core/FleetState.h"

#include <filesystem>
#include <fstream>

namespace mimosashunt::test {
namespace {

/// Applies one line and compares the result. A "restart" line replaces the
/// state by one restored from its snapshot.
void replayLine(const Json &Line, FleetState &State,
                const std::string &Location) {
  if (Line.value("restart", false)) {
    FleetState Restored;
    ASSERT_TRUE(Restored.restore(State.snapshot())) << Location;
    ASSERT_EQ(Restored, State) << Location;
    State = Restored;
    return;
  }
  FleetCommand Command;
  Command.OperationId = Line.value("id", std::string());
  Command.Action = kindFromJson<FleetAction>(Line.at("action"));
  CommandResult Result = State.apply(Command);
  EXPECT_EQ(static_cast<int>(Result.Status), Line.at("status").get<int>())
      << Location << ": " << Result.Detail;
  EXPECT_EQ(Result.AtRevision, Line.at("revision").get<Revision>()) << Location;
}

TEST(Replay, EveryTraceProducesItsStatedResults) {
  size_t Traces = 0;
  auto Folder = std::filesystem::path(MIMOSASHUNT_TESTS) / "Replay" / "Traces";
  for (const auto &File : std::filesystem::directory_iterator(Folder)) {
    std::ifstream In(File.path());
    std::string Text;
    FleetState State;
    for (int LineNumber = 1; std::getline(In, Text); ++LineNumber)
      replayLine(Json::parse(Text), State,
                 File.path().filename().string() + ":" +
                     std::to_string(LineNumber));
    ++Traces;
  }
  EXPECT_GE(Traces, 3U);
}

} // namespace
} // namespace mimosashunt::test
