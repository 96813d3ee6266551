#include "Support/FaultSchedule.h"

#include <algorithm>
#include <ostream>
#include <utility>

namespace mimosashunt::test {

namespace {

constexpr int KindCount = 9;
constexpr size_t ControlCount = 3;
constexpr size_t EntryCount = 3;
constexpr size_t BackendCount = 6;

const char *nameOf(FaultKind Kind) {
  static const char *const Names[] = {
      "CrashControl",  "WipeControl",   "FreezeControl",
      "FreezeEntry",   "RestartEntry",  "CrashBackend",
      "FreezeBackend", "CutDataCentre", "SilenceAnswers"};
  return Names[static_cast<int>(Kind)];
}

} // namespace

std::ostream &operator<<(std::ostream &Out, const Fault &Scheduled) {
  return Out << nameOf(Scheduled.Kind) << " " << Scheduled.Target << " at "
             << toMillis(Scheduled.At) << " ms for " << toMillis(Scheduled.Span)
             << " ms";
}

FleetShape arbitraryShape(unsigned LossBelow) {
  FleetShape Shape;
  Shape.Seed = *rc::gen::arbitrary<uint64_t>();
  if (LossBelow > 0)
    Shape.LossPercent = *rc::gen::inRange(0U, LossBelow);
  return Shape;
}

rc::Gen<std::vector<Fault>> faultSchedules(Duration Horizon, size_t MaxFaults) {
  int64_t Millis = toMillis(Horizon);
  auto AnyFault = rc::gen::apply(
      [](int Kind, size_t Target, int64_t At, int64_t Span) {
        return Fault{static_cast<FaultKind>(Kind), Target, milliseconds(At),
                     milliseconds(Span)};
      },
      rc::gen::inRange(0, KindCount), rc::gen::inRange<size_t>(0, 6),
      rc::gen::inRange<int64_t>(0, Millis),
      rc::gen::inRange<int64_t>(50, Millis / 2));
  auto AnyFaults = rc::gen::mapcat(
      rc::gen::inRange<size_t>(0, MaxFaults + 1), [AnyFault](size_t Count) {
        return rc::gen::container<std::vector<Fault>>(Count, AnyFault);
      });
  return rc::gen::map(AnyFaults, [](std::vector<Fault> Faults) {
    std::stable_sort(
        Faults.begin(), Faults.end(),
        [](const Fault &A, const Fault &B) { return A.At < B.At; });
    return Faults;
  });
}

FaultDriver::FaultDriver(VirtualFleet &Fleet, std::vector<Fault> Schedule)
    : Fleet(Fleet), Schedule(std::move(Schedule)), StartedAt(Fleet.now()) {}

void FaultDriver::drive() {
  Duration Elapsed = Fleet.now() - StartedAt;
  while (NextFault < Schedule.size() && Schedule[NextFault].At <= Elapsed)
    injectFault(Schedule[NextFault++]);
  for (auto *RestartTimes : {&ControlRestartTimes, &BackendRestartTimes})
    for (auto Due = RestartTimes->begin(); Due != RestartTimes->end();) {
      if (Fleet.now() < Due->second) {
        ++Due;
        continue;
      }
      if (RestartTimes == &ControlRestartTimes)
        Fleet.restartControl(Due->first);
      else
        Fleet.restartBackend(Due->first);
      Due = RestartTimes->erase(Due);
    }
}

bool FaultDriver::canLoseDisk() {
  // A group of three tolerates the loss of one disk. The next may be lost only
  // after all three current disks are voters again.
  auto Leader = Fleet.leader();
  if (!Leader || !ControlRestartTimes.empty())
    return false;
  const Raft &Log = Fleet.control(*Leader)->raft();
  return Log.membership().Voters.size() == ControlCount &&
         Log.membership().Learners.empty() && Fleet.disksAreMembers(*Leader);
}

void FaultDriver::injectFault(const Fault &Scheduled) {
  size_t Control = Scheduled.Target % ControlCount;
  size_t Entry = Scheduled.Target % EntryCount;
  size_t Backend = Scheduled.Target % BackendCount;
  switch (Scheduled.Kind) {
  case FaultKind::CrashControl:
    Fleet.crashControl(Control, /*LoseDisk=*/false);
    ControlRestartTimes[Control] = Fleet.now() + Scheduled.Span;
    return;
  case FaultKind::WipeControl:
    if (!canLoseDisk())
      return;
    Fleet.crashControl(Control, /*LoseDisk=*/true);
    ControlRestartTimes[Control] = Fleet.now() + Scheduled.Span;
    return;
  case FaultKind::FreezeControl:
    Fleet.network().freeze({NodeKind::Control, Control}, Scheduled.Span);
    return;
  case FaultKind::FreezeEntry:
    Fleet.network().freeze({NodeKind::Entry, Entry}, Scheduled.Span);
    return;
  case FaultKind::RestartEntry:
    Fleet.restartEntry(Entry);
    return;
  case FaultKind::CrashBackend:
    Fleet.crashBackend(Backend);
    BackendRestartTimes[Backend] = Fleet.now() + Scheduled.Span;
    return;
  case FaultKind::FreezeBackend:
    Fleet.network().freeze({NodeKind::Backend, Backend}, Scheduled.Span);
    return;
  case FaultKind::CutDataCentre:
    Fleet.network().cut(Scheduled.Target, Scheduled.Span);
    return;
  case FaultKind::SilenceAnswers:
    // Drops the answers; requests still arrive.
    Fleet.network().silence({NodeKind::Backend, Backend},
                            {NodeKind::Entry, Entry}, Scheduled.Span);
    return;
  }
}

void FaultDriver::healAll() {
  Fleet.network().heal();
  NextFault = Schedule.size();
  for (size_t I = 0; I < ControlCount; ++I)
    Fleet.restartControl(I);
  for (size_t I = 0; I < BackendCount; ++I)
    Fleet.restartBackend(I);
  ControlRestartTimes.clear();
  BackendRestartTimes.clear();
}

} // namespace mimosashunt::test
