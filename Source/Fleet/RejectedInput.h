// Counts the values from outside that could not be read, by where they came
// from, for the metrics and the log.

#ifndef MIMOSASHUNT_FLEET_REJECTEDINPUT_H
#define MIMOSASHUNT_FLEET_REJECTEDINPUT_H

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace mimosashunt {

/// Where a value came from.
enum class InputSource : uint8_t {
  ControlCall, // A call of a worker or operator.
  WorkerList,  // A worker's lists of running and ended runs.
  VmList,      // The platform's list of VMs.
  Advice,      // A response of the advice service.
  StoredState  // The replicated state; its entries outlive upgrades.
};

/// Name of the source in logs and metrics.
inline const char *nameOf(InputSource Source) {
  switch (Source) {
  case InputSource::ControlCall:
    return "control_call";
  case InputSource::WorkerList:
    return "worker_list";
  case InputSource::VmList:
    return "vm_list";
  case InputSource::Advice:
    return "advice";
  case InputSource::StoredState:
    return "stored_state";
  }
  return "unknown";
}

/// Used from the event loop's thread only. Whoever rejects many values calls
/// add() for each; the owner logs the latest of each source now and then, so
/// that the log does not grow with what others send.
class RejectedInput {
public:
  struct Tally {
    uint64_t Count = 0;
    uint64_t UnloggedCount = 0;
    std::string LastDetail;
  };

  void add(InputSource Source, std::string Detail) {
    Tally &Entry = Tallies[Source];
    ++Entry.Count;
    ++Entry.UnloggedCount;
    Entry.LastDetail = std::move(Detail);
  }
  const std::map<InputSource, Tally> &all() const { return Tallies; }
  /// Calls \p Log with each source and its tally that has grown since the last
  /// call.
  template <class Function> void logNew(Function Log) {
    for (auto &[Source, Entry] : Tallies)
      if (Entry.UnloggedCount > 0) {
        Log(Source, Entry);
        Entry.UnloggedCount = 0;
      }
  }

private:
  std::map<InputSource, Tally> Tallies;
};

} // namespace mimosashunt

#endif
