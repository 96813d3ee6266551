#include "Core/ConfigurationLease.h"

#include <algorithm>

namespace mimosashunt {

void ConfigurationLease::renew(Instant SentAt, Duration Lease,
                               const std::optional<EntryConfiguration> &New) {
  if (New && New->AtRevision < Configuration.AtRevision)
    return;
  if (New) {
    Configuration = *New;
    Queues.clear();
    for (const auto &[Team, Document] : Configuration.Documents)
      for (const ServiceSpec &Service : Document.Services)
        for (const QueueSpec &Spec : Service.Queues)
          Queues.try_emplace(Spec.Name, QueueMatch{Service.Name, Team, Spec});
  }
  Instant NewExpiry = SentAt + Lease;
  ExpiresAt = ExpiresAt ? std::max(*ExpiresAt, NewExpiry) : NewExpiry;
}

bool ConfigurationLease::isValid() const {
  return ExpiresAt && Timers.now() < *ExpiresAt;
}

std::optional<std::string>
ConfigurationLease::teamOf(const KeyDigest &Digest) const {
  auto Found = Configuration.Keys.find(Digest);
  if (Found == Configuration.Keys.end())
    return std::nullopt;
  return Found->second;
}

std::optional<Refusal>
ConfigurationLease::authorise(const EntryRequest &Request, bool Open,
                              std::string &Team) const {
  if (Request.Digest.empty()) {
    if (!Open)
      return Refusal::KeyRequired;
    if (!Request.ClaimedTeam.empty())
      return Refusal::TeamMismatch;
    return std::nullopt;
  }
  if (!isValid())
    return Refusal::LeaseExpired;
  std::optional<std::string> Holder = teamOf(Request.Digest);
  if (!Holder)
    return Refusal::KeyRefused;
  if (!Request.ClaimedTeam.empty() && Request.ClaimedTeam != *Holder)
    return Refusal::TeamMismatch;
  Team = *Holder;
  return std::nullopt;
}

std::optional<ConfigurationLease::QueueMatch>
ConfigurationLease::findQueue(const std::string &Name) const {
  auto Found = Queues.find(Name);
  if (Found == Queues.end())
    return std::nullopt;
  return Found->second;
}

uint32_t ConfigurationLease::shareOf(const std::string &Team) const {
  auto Found = Configuration.Documents.find(Team);
  if (Found == Configuration.Documents.end())
    return 1;
  return std::max<uint32_t>(1, Found->second.Share);
}

uint32_t ConfigurationLease::limitOf(const std::string &Team) const {
  auto Found = Configuration.Documents.find(Team);
  return Found == Configuration.Documents.end() ? 0 : Found->second.Limit;
}

} // namespace mimosashunt
