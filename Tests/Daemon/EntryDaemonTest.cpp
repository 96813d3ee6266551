// Tests an entry VM's daemon with messages of other writers that are malformed.

#include "Entry/EntryDaemon.h"
#include "Links/HttpClient.h"
#include "Support/ListeningPort.h"
#include "Support/TestLoop.h"

#include <chrono>
#include <future>
#include <gtest/gtest.h>
#include <optional>
#include <thread>

namespace mimosashunt::test {
namespace {

// Guards against a diagnostic that quotes the sender's bytes and so is no UTF-8
// either, which ends the process.
TEST(EntryDaemon, AnswersMalformedAnnouncements) {
  EntrySettings Settings;
  Settings.ListenAddress = freeAddress();
  Settings.PeerListenAddress = freeAddress();
  Settings.Self = {"entry-1", "dc-1", Settings.PeerListenAddress.text()};
  Settings.EntryVms = {Settings.Self};
  Settings.ControlAddresses = {freeAddress()};
  Settings.StopGrace = milliseconds(1);
  // A connection may outlive its client, and h2o cannot destroy an event loop,
  // so the daemon lives as long as the process.
  static EntryDaemon &Daemon = *new EntryDaemon(Settings);
  ASSERT_FALSE(Daemon.listen());
  static std::promise<void> Stopped;
  // h2o keeps freed buffers for each thread, so this one lasts as long.
  std::thread([] {
    Daemon.run();
    Stopped.set_value();
    while (true)
      std::this_thread::sleep_for(std::chrono::hours(1));
  }).detach();
  TestLoop Lasting;
  EventLoop &Loop = Lasting.Loop;
  HttpClient Client(Loop);
  auto Announce = [&](const std::string &Body) {
    std::optional<HttpResult> Result;
    Client.send(Settings.PeerListenAddress,
                {"POST", "/v1/backend-servers", {}, {}, Body}, seconds(5),
                [&](const HttpResult &Received) { Result = Received; });
    while (!Result)
      Loop.runOnce();
    const auto *Response = std::get_if<HttpResponse>(&*Result);
    return Response == nullptr ? 0 : Response->Status;
  };
  Json Valid =
      BackendAnnouncement{"b", "s", "vm", "127.0.0.1:80", 4, false, 1, {}};
  for (const char *Address : {"127.0.0.1:99999", "127.0.0.1", "host:80", ""}) {
    Json Announcement = Valid;
    Announcement["address"] = Address;
    EXPECT_EQ(Announce(Announcement.dump()), 400) << Address;
  }
  // Sums of such numbers of slots wrap around.
  for (uint64_t Slots : {uint64_t{UINT32_MAX}, uint64_t{INT64_MAX}}) {
    Json Announcement = Valid;
    Announcement["slots"] = Slots;
    EXPECT_EQ(Announce(Announcement.dump()), 400) << Slots;
  }
  EXPECT_EQ(Announce("\"\xff"), 400);
  EXPECT_EQ(Announce("{\"slots\":1e400}"), 400);
  EXPECT_EQ(Announce(std::string(500000, '[')), 400);
  EXPECT_EQ(Announce(Valid.dump()), 200);
  Daemon.stop();
  Stopped.get_future().wait();
}

} // namespace
} // namespace mimosashunt::test
