// Sessions and ejection of backend servers, and the configuration lease.

#include <gtest/gtest.h>

#include "Core/ConfigurationLease.h"
#include "Core/SessionTable.h"

namespace mimosashunt::test {
namespace {

struct Sessions : testing::Test {
  TimerService Timers{Instant(seconds(100))};
  SessionTable Table{Timers, {}};
  std::vector<EndedAttempt> Ended;

  AnnouncementReply announce(const std::string &Name, uint64_t Epoch,
                             std::vector<AttemptId> Running = {}) {
    BackendAnnouncement New;
    New.Name = Name;
    New.Service = "lessons";
    New.Vm = "vm-" + Name;
    New.Slots = 8;
    New.Epoch = Epoch;
    New.Running = std::move(Running);
    return Table.handleAnnouncement(New, Ended);
  }
  void advanceTime(Duration Span) { Timers.advance(Timers.now() + Span); }
};

TEST_F(Sessions, LostAttemptKeepsItsSlotUntilItHasProvablyEnded) {
  announce("a", 1);
  Table.startAttempt("a", "x", 7, "team");
  Table.markLost("x");
  EXPECT_EQ(Table.load("lessons", {}).Running, 1U);
  // The attempt may still arrive during the present session, whether or not it
  // is listed.
  EXPECT_TRUE(announce("a", 1).RenewEpoch);
  EXPECT_EQ(Table.load("lessons", {}).Running, 1U);
  announce("a", 2, {"x"});
  EXPECT_EQ(Table.load("lessons", {}).Running, 1U);
  announce("a", 2);
  EXPECT_EQ(Table.load("lessons", {}).Running, 0U);
  ASSERT_EQ(Ended.size(), 1U);
  EXPECT_EQ(Ended[0].Team, "team");
  EXPECT_FALSE(Ended[0].WasInFlight);
}

TEST_F(Sessions, HeartbeatDetectsALostConnection) {
  announce("a", 1);
  Table.startAttempt("a", "x", 7, "team");
  advanceTime(milliseconds(500));
  EXPECT_FALSE(announce("a", 1).RenewEpoch);
  advanceTime(seconds(1));
  // The backend server does not list the attempt: its connection was lost.
  EXPECT_TRUE(announce("a", 1).RenewEpoch);
  announce("a", 2);
  advanceTime(seconds(1));
  announce("a", 2);
  ASSERT_EQ(Ended.size(), 1U);
  EXPECT_TRUE(Ended[0].WasInFlight);
}

TEST_F(Sessions, FailingServerIsEjectedAndReturnsAfterASuccess) {
  for (const char *Name : {"a", "b", "c"})
    announce(Name, 1);
  for (int I = 0; I < 5; ++I)
    Table.recordFailure("a");
  EXPECT_EQ(Table.load("lessons", {}).Slots, 16U);
  // A second one is not ejected: if most fail, the service is at fault.
  for (int I = 0; I < 5; ++I)
    Table.recordFailure("b");
  EXPECT_EQ(Table.load("lessons", {}).Slots, 16U);
  advanceTime(seconds(5));
  for (const char *Name : {"a", "b", "c"})
    announce(Name, 1);
  EXPECT_EQ(Table.chooseBackend("lessons", {}, {"b", "c"})->Backend, "a");
  Table.startAttempt("a", "probe", 1, "");
  EXPECT_FALSE(Table.chooseBackend("lessons", {}, {"b", "c"}).has_value());
  Table.recordSuccess("a");
  EXPECT_EQ(Table.load("lessons", {}).Slots, 24U);
}

TEST_F(Sessions, ALateMessageOfAnEarlierSessionChangesNothing) {
  announce("a", 5);
  advanceTime(milliseconds(1900));
  announce("a", 4);
  advanceTime(milliseconds(200));
  EXPECT_FALSE(Table.chooseBackend("lessons", {}, {}).has_value());
}

TEST(ConfigurationLease, AnOlderConfigurationNeverReplacesANewerOne) {
  TimerService Timers{Instant(seconds(100))};
  ConfigurationLease Lease(Timers);
  EntryConfiguration New{5, {}, {}, {}, {}};
  EntryConfiguration Old{4, {}, {{"withdrawn", "team"}}, {}, {}};
  Lease.renew(Timers.now(), seconds(3), New);
  Lease.renew(Timers.now(), seconds(3), Old);
  EXPECT_EQ(Lease.activeRevision(), 5U);
  EXPECT_FALSE(Lease.teamOf("withdrawn").has_value());
}

TEST(ConfigurationLease, ExpiryIsCountedFromWhenTheReportWasSent) {
  TimerService Timers{Instant(seconds(100))};
  ConfigurationLease Lease(Timers);
  EXPECT_FALSE(Lease.isValid());
  Lease.renew(Instant(seconds(98)), seconds(3), EntryConfiguration{});
  EXPECT_TRUE(Lease.isValid());
  Timers.advance(Instant(seconds(101)));
  EXPECT_FALSE(Lease.isValid());
}

} // namespace
} // namespace mimosashunt::test
