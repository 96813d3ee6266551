// VMs as the platform lists them, and the orders that it takes.

#ifndef MIMOSASHUNT_POOLS_VMTYPES_H
#define MIMOSASHUNT_POOLS_VMTYPES_H

#include "Jobs/JobTypes.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace mimosashunt {

enum class VmPhase : uint8_t { Up, Moving, Maintenance, Down };

/// One VM in the platform's list.
struct VmEntry {
  std::string Vm;
  std::string Pool;
  VmPhase Phase = VmPhase::Down;
  std::string DataCentre;
  std::vector<std::string> Labels;
  Resources Capacity;
  std::string WorkerId; // Empty while no worker runs there.
};

enum class VmOrderOutcome : uint8_t {
  Accepted,
  Fenced,    // A higher fencing token was used for this VM.
  Busy,      // It is not up, or it leaves.
  NotInWave, // The platform does not know it under that wave.
  Invalid,
  RateLimited, // The platform takes no more orders now.
  Unanswered,  // No answer: it may be carried out, also later.
};

const char *nameOf(VmOrderOutcome Outcome);

/// True if \p Vm's worker has lived for so long that no leader can have ordered
/// the VM within \p Pause: an order that is taken ends the worker at once.
/// \p BornMs and \p NowMs are times of day, which may differ between machines.
inline bool settledFor(int64_t BornMs, int64_t NowMs, int64_t PauseMs) {
  constexpr int64_t MostClockDifferenceMs = 5000;
  return BornMs > 0 && NowMs - BornMs > PauseMs + MostClockDifferenceMs;
}

class VmPort {
public:
  /// Nothing if the list could not be read whole.
  using ListCallback = std::function<void(std::optional<std::vector<VmEntry>>)>;
  using OrderCallback = std::function<void(VmOrderOutcome)>;
  virtual ~VmPort() = default;

  /// Each runs its callback once, never before it has returned.
  virtual void listVms(ListCallback Done) = 0;
  virtual void moveVm(const std::string &Vm, const std::string &Pool,
                      uint64_t Token, OrderCallback Done) = 0;
  virtual void startMaintenance(const std::string &Vm, uint64_t Wave,
                                uint64_t Token, OrderCallback Done) = 0;
};

} // namespace mimosashunt

#endif
