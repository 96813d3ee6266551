// Replays recorded commands against the outcomes that their files state.

#include <gtest/gtest.h>

#include "Core/FleetState.h"

#include <filesystem>
#include <fstream>

namespace mimosashunt::test {
namespace {

/// Applies one line and compares; "restart" puts the state through a snapshot.
void replayLine(const Json &Line, FleetState &State, const std::string &Where) {
  if (Line.value("restart", false)) {
    FleetState Restored;
    ASSERT_TRUE(Restored.restore(State.snapshot())) << Where;
    ASSERT_EQ(Restored, State) << Where;
    State = Restored;
    return;
  }
  FleetCommand Command;
  Command.OperationId = Line.value("id", std::string());
  Command.Action = kindFromJson<FleetAction>(Line.at("action"));
  CommandResult Result = State.apply(Command);
  EXPECT_EQ(static_cast<int>(Result.Status), Line.at("status").get<int>())
      << Where << ": " << Result.Detail;
  EXPECT_EQ(Result.AtRevision, Line.at("revision").get<Revision>()) << Where;
}

TEST(Replay, EveryTraceHasItsStatedOutcome) {
  size_t Traces = 0;
  auto Folder = std::filesystem::path(MIMOSASHUNT_TESTS) / "Replay" / "Traces";
  for (const auto &Item : std::filesystem::directory_iterator(Folder)) {
    std::ifstream In(Item.path());
    std::string Text;
    FleetState State;
    for (int Number = 1; std::getline(In, Text); ++Number)
      replayLine(Json::parse(Text), State,
                 Item.path().filename().string() + ":" +
                     std::to_string(Number));
    ++Traces;
  }
  EXPECT_GE(Traces, 3U);
}

} // namespace
} // namespace mimosashunt::test
