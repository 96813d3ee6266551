// Tests that settings of the job path's daemons out of their range are
// diagnosed.

#include "Fleet/FleetSettings.h"
#include "Daemon/Settings.h"

#include <gtest/gtest.h>

namespace mimosashunt::test {
namespace {

// Guards against durations beyond their type's range, which become arbitrary.
TEST(FleetSettings, DiagnosticsNameNumbersOutOfRange) {
  Json Valid = {{"vm", "vm-1"},
                {"dataCentre", "dc-1"},
                {"internalListen", "127.0.0.1:1000"},
                {"seeds", {"127.0.0.1:1001"}}};
  SchemaFault Fault;
  ASSERT_TRUE(conforms(Valid, FleetSettings::schema(), Fault));
  for (const char *Key : {"graceSeconds", "longestLeaseMs", "orderPauseMs",
                          "noticeMs", "maintenanceSeconds"}) {
    Json Settings = Valid;
    Settings[Key] = 1e300;
    EXPECT_FALSE(conforms(Settings, FleetSettings::schema(), Fault)) << Key;
    EXPECT_EQ(Fault.Key, Key);
    EXPECT_FALSE(Fault.Remedy.empty());
  }
}

} // namespace
} // namespace mimosashunt::test
