// Bounds the memory that jobs take on a leader until they end. Expected fault:
// accepted jobs, few wide ones or many small ones, of one organisation, that
// together outgrow each control VM in turn, so that nothing is answered any
// more. Half of the budget is guaranteed to organisations by their weights; of
// the other half none may hold more than it leaves free. Ended jobs do not
// count.

#ifndef MIMOSASHUNT_SCHEDULING_WORKBUDGET_H
#define MIMOSASHUNT_SCHEDULING_WORKBUDGET_H

#include "Jobs/JobCommands.h"
#include "Jobs/ServiceConfiguration.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace mimosashunt {

/// Returns how many bytes the job takes at most on a leader, and so on any
/// control VM. Each of its steps may keep what the advice service has decided
/// about \p AdvisedWorkers workers.
int64_t estimateJobBytes(const AcceptJob &Job, size_t AdvisedWorkers);

struct Admitted {};
/// There is no room now.
struct NoRoomNow {
  int64_t NeededBytes = 0;
  int64_t FreeBytes = 0; // For the organisation.
  bool operator==(const NoRoomNow &) const = default;
};
/// The job would not fit if its organisation had no others.
struct TooLarge {
  int64_t NeededBytes = 0;
  int64_t MaxBytes = 0;
  bool operator==(const TooLarge &) const = default;
};
using Admission = std::variant<Admitted, NoRoomNow, TooLarge>;

class WorkBudget {
public:
  explicit WorkBudget(int64_t Bytes) : Bytes(Bytes) {}

  void setOrganisations(const ServiceConfiguration &Configuration);

  /// Returns whether the organisation may have another job of this size.
  Admission assess(const std::string &Organisation, int64_t JobBytes) const;
  /// Counts a job until remove(). Does nothing if it counts already.
  void add(const JobId &Job, const std::string &Organisation, int64_t JobBytes);
  void remove(const JobId &Job);

  int64_t bytes() const { return Bytes; }
  int64_t usedBytes() const { return Used; }
  /// Returns the bytes in use by organisation.
  const std::map<std::string, int64_t> &usedByOrganisation() const {
    return UsedBy;
  }

private:
  struct Charge {
    std::string Organisation;
    int64_t Bytes = 0;
  };

  /// Returns the name under which the organisation's jobs count; jobs without a
  /// named organisation count as those of one.
  std::string ownerOf(const std::string &Organisation) const;
  /// Returns what is not guaranteed to anybody.
  int64_t lendableBytes() const { return Bytes / 2; }
  int64_t guaranteeOf(const std::string &Organisation) const;
  int64_t usedBy(const std::string &Organisation) const;
  /// Returns what the organisation may use, if the others keep what they have.
  int64_t limitOf(const std::string &Organisation) const;

  const int64_t Bytes;
  std::map<std::string, double> Weights;
  /// Of all organisations together, and of jobs without one.
  double TotalWeight = 1;
  std::map<JobId, Charge> Charges;
  std::map<std::string, int64_t> UsedBy;
  int64_t Used = 0;
};

} // namespace mimosashunt

#endif
