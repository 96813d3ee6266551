// The configuration in force on an entry VM and the lease under which its keys
// may be used. When the lease has lapsed, a key may have been withdrawn since.

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

  /// Takes a renewal that answers a report sent at \p SentAt. An older
  /// configuration than the one in force is ignored: nothing reverts.
  void renew(Instant SentAt, Duration Lease,
             const std::optional<EntryConfiguration> &New);

  /// True while keys may be used.
  bool isValid() const;

  Revision activeRevision() const { return Configuration.AtRevision; }
  /// Team of a granted key; none for an unknown or withdrawn one.
  std::optional<std::string> teamOf(const KeyDigest &Digest) const;
  const EntryConfiguration &configuration() const { return Configuration; }

  /// Why the request may not use its queue now, if so. Otherwise \p Team is
  /// whose work it is; empty for work without a key.
  std::optional<Refusal> authorise(const EntryRequest &Request, bool Open,
                                   std::string &Team) const;

  struct QueueMatch {
    std::string Service;
    std::string Owner; // Team that owns the service.
    QueueSpec Spec;
  };
  std::optional<QueueMatch> findQueue(const std::string &Name) const;
  uint32_t shareOf(const std::string &Team) const;
  uint32_t limitOf(const std::string &Team) const;

private:
  TimerService &Timers;
  EntryConfiguration Configuration;
  std::map<std::string, QueueMatch> Queues; // Follows Configuration.
  std::optional<Instant> Expires;
};

} // namespace mimosashunt

#endif
