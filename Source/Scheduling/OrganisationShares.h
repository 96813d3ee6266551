// Tracks how much each organisation has used lately with its short jobs, and
// decides which organisations are over their share. Expected load: some tens of
// organisations of unequal weight, one of which sends several times its usual
// rate for some seconds while the capacity does not even suffice for the
// others. Long-running jobs have no part in this; the quota alone bounds them.

#ifndef MIMOSASHUNT_SCHEDULING_ORGANISATIONSHARES_H
#define MIMOSASHUNT_SCHEDULING_ORGANISATIONSHARES_H

#include "Core/Time.h"
#include "Jobs/JobCommands.h"
#include "Jobs/ServiceConfiguration.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosashunt {

struct ShareOptions {
  /// Time constant of the usage history. What an organisation can catch up, and
  /// what it can be held back for, is at most its use during this time.
  Duration History = seconds(5);
  /// An organisation is over its share from this multiple of it on, and within
  /// it again below the other one. The gap keeps the order from flapping.
  double ExceededAbove = 1.1;
  double WithinBelow = 1.0;
  /// The usage of an organisation whose share is n jobs of mean size varies by
  /// the square root of n jobs. It is over its share only beyond this many
  /// standard deviations; otherwise each job of an organisation with few jobs
  /// would exceed its share.
  double ToleratedDeviations = 2.0;
  /// An organisation without waiting jobs for this long leaves its unused share
  /// to the others.
  Duration LendingDelay = seconds(1);
  /// An organisation within its share that has waited for this long without a
  /// start precedes the others within theirs. Short jobs are of use for some
  /// 2 s, so what waits for longer than this is likely to be late.
  Duration MaxOverlooked = seconds(1);
};

/// Organisations of a lower level are served first.
enum class ShareLevel : uint8_t { Overlooked, Within, Over };

/// Weight of organisations whose weight is not positive or that the
/// configuration does not contain.
constexpr double MinOrganisationWeight = 1e-3;

/// The usage of one organisation.
struct OrganisationShare {
  std::string Name;
  double Weight = MinOrganisationWeight;
  /// Seconds of the fleet's capacity in the dominant resource, decayed.
  double Usage = 0;
  /// Usage in proportion to what the organisation may use at present.
  double UsageOverShare = 0;
  ShareLevel Level = ShareLevel::Within;
  size_t WaitingJobs = 0;
  size_t RunningJobs = 0; // Jobs of which tasks run.
  size_t JobsBeyondRate = 0;

  bool hasWork() const { return WaitingJobs + RunningJobs > 0; }
};

/// An organisation that has exceeded its share while jobs of it wait, or that
/// is within its share again.
struct ShareChange {
  size_t Index = 0;
  bool IsExceeded = false;
};

class OrganisationShares {
public:
  explicit OrganisationShares(ShareOptions Options = {}) : Options(Options) {}

  /// Takes over the weights. Organisations that are missing keep what they used
  /// and get the smallest weight.
  void setConfiguration(const ServiceConfiguration &Configuration);
  /// Starts from what an earlier leader recorded, aged by the wall clock.
  void restore(const RecordUsage &Recorded, UnixMillis Now);
  RecordUsage record(UnixMillis Now) const;

  /// Returns the organisation's index, which stays valid.
  size_t indexOf(const std::string &Name);
  double weightOf(const std::string &Name) const;
  ShareLevel level(size_t Index) const { return Organisations[Index].Level; }
  const std::vector<OrganisationShare> &all() const { return Organisations; }

  /// Begins a count of the jobs, which update() evaluates.
  void resetJobCounts();
  void countJob(size_t Index, bool Waits, bool Runs, bool IsBeyondRate);
  bool hasWaitingJobs() const;
  /// Updates usage and levels. \p UsedBy returns what the short jobs of an
  /// organisation use now. \p MeanJobUsage is what a job of mean size uses, in
  /// seconds of the whole capacity; zero if it is not known.
  std::vector<ShareChange>
  update(Instant Now, const Resources &Capacity,
         const std::function<Resources(const std::string &)> &UsedBy,
         double MeanJobUsage = 0);
  /// Called when a task of a short job of the organisation starts.
  void recordStart(size_t Index, Instant Now);

  /// Returns the part of everything that is due to the organisation: its weight
  /// in proportion to those of the organisations with work.
  double share(size_t Index) const;

private:
  struct Timing {
    std::optional<Instant> WaitingSince;
    std::optional<Instant> LastWaitingAt;
    Instant LastStartAt;
    bool IsExceededReported = false;
  };

  void decayUsage(Instant Now, const Resources &Capacity,
                  const std::function<Resources(const std::string &)> &UsedBy);
  void updateWaiting(Instant Now);
  /// Returns the usage per weight above which an organisation is over its
  /// share.
  double computeFairLevel(Instant Now) const;
  /// Returns true if the organisation uses more than its share, \p FairUsage.
  bool isOver(const OrganisationShare &Organisation, double FairUsage,
              double MeanJobUsage) const;
  bool isOverlooked(size_t Index, Instant Now) const;

  const ShareOptions Options;
  std::vector<OrganisationShare> Organisations;
  std::vector<Timing> Timings; // Parallel to Organisations.
  std::map<std::string, size_t, std::less<>> Indices;
  std::map<std::string, double> Weights; // As configured.
  std::optional<Instant> UpdatedAt;
};

} // namespace mimosashunt

#endif
