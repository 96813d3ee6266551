// VMs as the platform lists them, and the orders that it accepts.

#ifndef MIMOSASHUNT_POOLS_VMTYPES_H
#define MIMOSASHUNT_POOLS_VMTYPES_H

#include "Core/Time.h"
#include "Jobs/JobTypes.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt {

enum class VmPhase : uint8_t { Up, Moving, Maintenance, Down };

/// One VM in the list of the platform.
struct VmEntry {
  std::string Vm;
  std::string Pool;
  VmPhase Phase = VmPhase::Down;
  std::string DataCentre;
  std::vector<std::string> Labels;
  Resources Capacity;
  std::string WorkerId; // Empty while no worker runs on the VM.
};

/// The VMs as the platform lists them. Entries of other writers that cannot be
/// read leave the others usable, and say nothing of the VM that they may be of.
struct VmList {
  std::vector<VmEntry> Vms;
  /// VMs that an unreadable entry names. Their state is not known.
  std::set<std::string> UnreadableVms;
  /// Some entry does not even tell which VM it is of.
  bool HasNamelessEntry = false;
};

/// The result of a VM order.
enum class VmOrderOutcome : uint8_t {
  Accepted,
  Fenced,    // The platform has seen a higher fencing token for this VM.
  Busy,      // The VM is not up, or it is leaving.
  NotInWave, // The VM is not part of that wave for the platform.
  Invalid,
  RateLimited, // The platform accepts no more orders at present.
  Unanswered,  // No answer: the order may be carried out, even later.
};

/// Returns the name used in log events.
const char *nameOf(VmOrderOutcome Outcome);

/// Returns false once a VM order must no longer be sent. Asked just before its
/// first byte is written.
using VmOrderGuard = std::function<bool()>;

/// How long after its guard was asked a VM order may still reach the platform.
/// A VmPort discards an order that has not been delivered by then.
inline constexpr Duration MaxVmOrderLifetime = milliseconds(1500);

/// Asynchronous access to the platform.
class VmPort {
public:
  /// The list; nothing if it could not be read completely.
  using ListCallback = std::function<void(std::optional<VmList>)>;
  using OrderCallback = std::function<void(VmOrderOutcome)>;
  virtual ~VmPort() = default;

  /// Each function runs its callback once, never before it has returned.
  virtual void listVms(ListCallback Done) = 0;
  virtual void moveVm(const std::string &Vm, const std::string &Pool,
                      uint64_t Token, VmOrderGuard MaySend,
                      OrderCallback Done) = 0;
  virtual void startMaintenance(const std::string &Vm, uint64_t Wave,
                                uint64_t Token, VmOrderGuard MaySend,
                                OrderCallback Done) = 0;
  /// Discards all orders that have not been delivered yet. Their outcome is
  /// Unanswered.
  virtual void discardOrders() = 0;
};

} // namespace mimosashunt

#endif
