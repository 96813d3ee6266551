// Holds the configuration that is active on an entry VM and the lease under
// which API keys may be used. Once the lease has expired, a key may have been
// withdrawn without this VM knowing, so no key is accepted until a renewal.

#ifndef MIMOSASHUNT_CORE_CONFIGURATIONLEASE_H
#define MIMOSASHUNT_CORE_CONFIGURATIONLEASE_H

#include "Core/EntryTypes.h"
#include "Core/FleetTypes.h"
#include "Core/TimerService.h"

#include <optional>
#include <string>

namespace mimosashunt {

class ConfigurationLease {
public:
  explicit ConfigurationLease(TimerService &Timers) : Timers(Timers) {}

  /// Extends the lease to \p Lease after \p SentAt, the time at which the
  /// answered report was sent, and activates \p New if it is present. A
  /// configuration older than the active one is ignored and extends nothing,
  /// so that a late reply cannot revert a change.
  void renew(Instant SentAt, Duration Lease,
             const std::optional<EntryConfiguration> &New);

  /// Returns true until the lease expires; keys may be used only then.
  bool isValid() const;

  Revision activeRevision() const { return Configuration.AtRevision; }
  /// Returns the team that holds the key, or none if the key is unknown or
  /// withdrawn.
  std::optional<std::string> teamOf(const KeyDigest &Digest) const;
  const EntryConfiguration &configuration() const { return Configuration; }

  /// Checks whether the request may use its queue now. Returns the reason if
  /// it may not. Otherwise sets \p Team to the team that the request is
  /// charged to, and leaves it unchanged for a request without a key, which
  /// only an open queue accepts.
  std::optional<Refusal> authorise(const EntryRequest &Request, bool Open,
                                   std::string &Team) const;

  struct QueueMatch {
    std::string Service;
    std::string Owner; // Team that owns the service.
    QueueSpec Spec;
  };
  /// Returns the queue of that name, or none if no document declares it.
  std::optional<QueueMatch> findQueue(const std::string &Name) const;
  /// Returns the weight of the team, at least 1.
  uint32_t shareOf(const std::string &Team) const;
  /// Returns how many requests the team may run across the fleet; 0 for an
  /// unknown team.
  uint32_t limitOf(const std::string &Team) const;

private:
  TimerService &Timers;
  EntryConfiguration Configuration;
  std::map<std::string, QueueMatch>
      Queues;                       // By name, built from Configuration.
  std::optional<Instant> ExpiresAt; // Never moves back.
};

} // namespace mimosashunt

#endif
