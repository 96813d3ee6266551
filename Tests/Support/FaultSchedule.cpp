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

std::ostream &operator<<(std::ostream &Out, const Fault &Item) {
  return Out << nameOf(Item.Kind) << " " << Item.Target << " at "
             << toMillis(Item.At) << " ms for " << toMillis(Item.Span) << " ms";
}

FleetShape arbitraryShape(unsigned LossBelow) {
  FleetShape Shape;
  Shape.Seed = *rc::gen::arbitrary<uint64_t>();
  if (LossBelow > 0)
    Shape.LossPercent = *rc::gen::inRange(0U, LossBelow);
  return Shape;
}

rc::Gen<std::vector<Fault>> faultSchedules(Duration Horizon, size_t Most) {
  int64_t Millis = toMillis(Horizon);
  auto One = rc::gen::apply(
      [](int Kind, size_t Target, int64_t At, int64_t Span) {
        return Fault{static_cast<FaultKind>(Kind), Target, milliseconds(At),
                     milliseconds(Span)};
      },
      rc::gen::inRange(0, KindCount), rc::gen::inRange<size_t>(0, 6),
      rc::gen::inRange<int64_t>(0, Millis),
      rc::gen::inRange<int64_t>(50, Millis / 2));
  auto Many = rc::gen::mapcat(
      rc::gen::inRange<size_t>(0, Most + 1), [One](size_t Count) {
        return rc::gen::container<std::vector<Fault>>(Count, One);
      });
  return rc::gen::map(Many, [](std::vector<Fault> List) {
    std::stable_sort(
        List.begin(), List.end(),
        [](const Fault &A, const Fault &B) { return A.At < B.At; });
    return List;
  });
}

FaultDriver::FaultDriver(VirtualFleet &Fleet, std::vector<Fault> Schedule)
    : Fleet(Fleet), Schedule(std::move(Schedule)), Began(Fleet.now()) {}

void FaultDriver::drive() {
  Duration Since = Fleet.now() - Began;
  while (Next < Schedule.size() && Schedule[Next].At <= Since)
    strike(Schedule[Next++]);
  for (auto *Down : {&ControlBack, &BackendBack})
    for (auto At = Down->begin(); At != Down->end();) {
      if (Fleet.now() < At->second) {
        ++At;
        continue;
      }
      if (Down == &ControlBack)
        Fleet.restartControl(At->first);
      else
        Fleet.restartBackend(At->first);
      At = Down->erase(At);
    }
}

bool FaultDriver::mayLoseDisk() {
  // Three disks bear the loss of one; the next may go once the group is whole.
  auto Leads = Fleet.leader();
  if (!Leads || !ControlBack.empty())
    return false;
  const Raft &Log = Fleet.control(*Leads)->raft();
  return Log.membership().Voters.size() == ControlCount &&
         Log.membership().Learners.empty() && Fleet.disksAreMembers(*Leads);
}

void FaultDriver::strike(const Fault &Item) {
  size_t Control = Item.Target % ControlCount;
  size_t Entry = Item.Target % EntryCount;
  size_t Backend = Item.Target % BackendCount;
  switch (Item.Kind) {
  case FaultKind::CrashControl:
    Fleet.crashControl(Control, /*LoseDisk=*/false);
    ControlBack[Control] = Fleet.now() + Item.Span;
    return;
  case FaultKind::WipeControl:
    if (!mayLoseDisk())
      return;
    Fleet.crashControl(Control, /*LoseDisk=*/true);
    ControlBack[Control] = Fleet.now() + Item.Span;
    return;
  case FaultKind::FreezeControl:
    Fleet.network().freeze({NodeKind::Control, Control}, Item.Span);
    return;
  case FaultKind::FreezeEntry:
    Fleet.network().freeze({NodeKind::Entry, Entry}, Item.Span);
    return;
  case FaultKind::RestartEntry:
    Fleet.restartEntry(Entry);
    return;
  case FaultKind::CrashBackend:
    Fleet.crashBackend(Backend);
    BackendBack[Backend] = Fleet.now() + Item.Span;
    return;
  case FaultKind::FreezeBackend:
    Fleet.network().freeze({NodeKind::Backend, Backend}, Item.Span);
    return;
  case FaultKind::CutDataCentre:
    Fleet.network().cut(Item.Target, Item.Span);
    return;
  case FaultKind::SilenceAnswers:
    // Answers are lost while requests still arrive.
    Fleet.network().silence({NodeKind::Backend, Backend},
                            {NodeKind::Entry, Entry}, Item.Span);
    return;
  }
}

void FaultDriver::healAll() {
  Fleet.network().heal();
  Next = Schedule.size();
  for (size_t I = 0; I < ControlCount; ++I)
    Fleet.restartControl(I);
  for (size_t I = 0; I < BackendCount; ++I)
    Fleet.restartBackend(I);
  ControlBack.clear();
  BackendBack.clear();
}

} // namespace mimosashunt::test
