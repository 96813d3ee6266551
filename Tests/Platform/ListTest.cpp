// Tests what becomes of lists that hold an odd entry: the entry is counted, the
// others hold.

#include "Links/HttpServer.h"
#include "Support/ListeningPort.h"
#include "Support/TestLoop.h"
#include "platform/VmClient.h"
#include "platform/WorkerClient.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::platform;

namespace {

/// A server that gives the same response to each request.
struct ListFixture {
  explicit ListFixture(const std::string &Body, int Status = 200)
      : Server(Loop, [this, Body,
                      Status](const std::shared_ptr<HttpExchange> &Exchange) {
          ++Requests;
          Exchange->respond({Status, {}, Body});
        }) {
    EXPECT_FALSE(Server.listen(Address));
  }

  PollResponse poll() {
    WorkerClient Client(Loop, std::nullopt, Rejected);
    WorkerEntry Worker;
    Worker.Address = Address.text();
    std::optional<PollResponse> Result;
    Client.pollWorker(Worker, {},
                      [&](const PollResponse &Response) { Result = Response; });
    while (!Result)
      Loop.runOnce();
    return *Result;
  }

  std::optional<VmList> listVms() {
    VmClient Client(Loop, "vm", Address, Rejected);
    bool Done = false;
    std::optional<VmList> Result;
    Client.listVms([&](std::optional<VmList> List) {
      Result = std::move(List);
      Done = true;
    });
    while (!Done)
      Loop.runOnce();
    return Result;
  }

  uint64_t rejected(InputSource Source) {
    auto Found = Rejected.all().find(Source);
    return Found == Rejected.all().end() ? 0 : Found->second.Count;
  }

  test::TestLoop Lasting; // Destroyed last.
  EventLoop &Loop = Lasting.Loop;
  RejectedInput Rejected;
  const SocketAddress Address = test::freeAddress();
  int Requests = 0;
  HttpServer Server;
};

std::string nested(size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

const std::vector<std::string> OddValues = {
    "1e400",        "-1e400",      "-1",   "9223372036854775807",
    "\"\xff\xfe\"", "null",        "{}",   "18446744073709551615",
    "[]",           nested(20000), "true", "\"a\\u0000b\""};

/// Returns the text with each $ replaced by \p Odd.
std::string withOdd(std::string Text, const std::string &Odd) {
  for (size_t At = Text.find('$'); At != std::string::npos;
       At = Text.find('$', At + Odd.size()))
    Text.replace(At, 1, Odd);
  return Text;
}

TEST(WorkerLists, AnOddRowLeavesTheOthers) {
  // Guards against a worker that is silent, and its runs lost, as long as one
  // row cannot be read, and against rows taken for ended since they were
  // skipped. A row that names no task leaves nothing open.
  for (const std::string &Odd : OddValues) {
    ListFixture Env(withOdd(
        R"({"clock-ms":5,"running":[["a.0.0.0",1,"",4],$,["a.0.0.1",$,"",4],)"
        R"(["a.0.0.2",2,"",41.5,-7]],"finished":[[1,"a.0.0.3",1,$,""],)"
        R"([2,"a.0.0.4",1,"done",""]]})",
        Odd));
    PollResponse Response = Env.poll();
    EXPECT_EQ(Response.Outcome, OrderOutcome::Accepted) << Odd.substr(0, 30);
    EXPECT_EQ(Response.UnreadableRuns, (std::set<TaskId>{{"a", 0, 0, 1}}));
    EXPECT_EQ(Response.UnreadableEnds, (std::set<TaskId>{{"a", 0, 0, 3}}));
    EXPECT_FALSE(Response.HasMoreEnds);
    EXPECT_EQ(Response.ClockMs, 5);
    EXPECT_EQ(Response.Running.size(), 2U) << Odd.substr(0, 30);
    EXPECT_EQ(Response.Finished.size(), 1U) << Odd.substr(0, 30);
    EXPECT_EQ(Env.rejected(InputSource::WorkerList), 3U);
  }
}

TEST(WorkerLists, AClockThatCannotBeReadLeavesTheLists) {
  ListFixture Env(
      R"({"clock-ms":-1,"running":[["a.0.0.0",1,"",4]],"finished":[]})");
  PollResponse Response = Env.poll();
  EXPECT_EQ(Response.Outcome, OrderOutcome::Accepted);
  EXPECT_EQ(Response.ClockMs, std::nullopt);
  EXPECT_EQ(Response.Running.size(), 1U);
  EXPECT_TRUE(Response.UnreadableRuns.empty());
  EXPECT_FALSE(Response.HasMoreEnds);
}

TEST(VmLists, AnOddEntryLeavesTheOthers) {
  for (const std::string &Odd : OddValues) {
    ListFixture Env(
        withOdd(R"({"machines":[{"machine":"m-1","pool":"s","state":"up"},$,)"
                R"({"machine":"m-2","pool":"s","state":"up","capacity-free":)"
                R"({"cpu":$},"labels":[$]},)"
                R"({"machine":"m-3","pool":"s","state":"up"}]})",
                Odd));
    auto List = Env.listVms();
    ASSERT_TRUE(List.has_value()) << Odd.substr(0, 30);
    ASSERT_EQ(List->Vms.size(), 2U) << Odd.substr(0, 30);
    EXPECT_EQ(List->Vms[1].Vm, "m-3");
    // The one that names its VM hides that VM alone.
    EXPECT_EQ(List->UnreadableVms, std::set<std::string>{"m-2"});
    EXPECT_TRUE(List->HasNamelessEntry);
    EXPECT_EQ(Env.rejected(InputSource::VmList), 2U);
  }
}

TEST(VmLists, AListThatNeverEndsIsGivenUp) {
  ListFixture Env(R"({"machines":[],"next-token":"again"})");
  EXPECT_FALSE(Env.listVms().has_value());
  EXPECT_EQ(Env.Requests, 2);
}

TEST(VmOrders, AnOddReasonDoesNotEndTheProcess) {
  ListFixture Env(R"({"reason":5})", 409);
  VmClient Client(Env.Loop, "vm", Env.Address, Env.Rejected);
  std::optional<VmOrderOutcome> Result;
  Client.moveVm(
      "m-1", "s", 1, [] { return true; },
      [&](VmOrderOutcome Outcome) { Result = Outcome; });
  while (!Result)
    Env.Loop.runOnce();
  EXPECT_EQ(Result, VmOrderOutcome::Busy);
}

} // namespace
