// Generates schedules of faults for property tests and injects them into a
// simulated fleet.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_FAULTSCHEDULE_H
#define MIMOSASHUNT_TESTS_SUPPORT_FAULTSCHEDULE_H

#include "Support/VirtualFleet.h"

#include <iosfwd>
#include <rapidcheck.h>
#include <vector>

namespace mimosashunt::test {

/// Kinds of faults. WipeControl is a crash that also loses the disk;
/// SilenceAnswers drops the messages from a backend server to an entry VM.
enum class FaultKind {
  CrashControl,
  WipeControl,
  FreezeControl,
  FreezeEntry,
  RestartEntry,
  CrashBackend,
  FreezeBackend,
  CutDataCentre,
  SilenceAnswers,
};

/// A fault at time At after the start of the schedule that lasts for Span.
/// Target is reduced modulo the number of nodes of the kind.
struct Fault {
  FaultKind Kind = FaultKind::CrashControl;
  size_t Target = 0;
  Duration At{};
  Duration Span{};
};

std::ostream &operator<<(std::ostream &Out, const Fault &Scheduled);

/// Generates a fleet shape with an arbitrary seed whose message loss in percent
/// is below \p LossBelow, or zero if that is zero.
FleetShape arbitraryShape(unsigned LossBelow = 0);

/// Generates at most \p MaxFaults faults that start within \p Horizon, sorted
/// by time.
rc::Gen<std::vector<Fault>> faultSchedules(Duration Horizon, size_t MaxFaults);

/// Injects faults when they are due and restarts crashed nodes when their fault
/// ends.
class FaultDriver {
public:
  FaultDriver(VirtualFleet &Fleet, std::vector<Fault> Schedule);

  /// Injects the faults that are due and restarts nodes. Must be called once
  /// per step; fault times count from construction.
  void drive();

  /// Ends all faults, discards the rest of the schedule and restarts all
  /// crashed control VMs and backend servers.
  void healAll();

private:
  void injectFault(const Fault &Scheduled);
  /// True if the control group can lose a disk without losing accepted changes.
  bool canLoseDisk();

  VirtualFleet &Fleet;
  std::vector<Fault> Schedule;
  size_t NextFault = 0;
  Duration StartedAt;
  // When crashed nodes are restarted, by index.
  std::map<size_t, Duration> ControlRestartTimes;
  std::map<size_t, Duration> BackendRestartTimes;
};

} // namespace mimosashunt::test

#endif
