// The operators' configuration as the job path reads it: queues, pools,
// organisations and limits, under one version. The text that was accepted is
// kept whole, since it is what operators read back.

#ifndef MIMOSASHUNT_JOBS_SERVICECONFIGURATION_H
#define MIMOSASHUNT_JOBS_SERVICECONFIGURATION_H

#include "Jobs/JobTypes.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosashunt {

/// How long advice on a queue takes and holds.
struct AdvicePolicy {
  int64_t DecisionMs = 0;
  int64_t EachMs = 0;
  int64_t ValidMs = 0;
  bool operator==(const AdvicePolicy &) const = default;
};

struct QueueConfiguration {
  std::string Name;
  std::string Host;
  std::string Prefix;
  std::string Pool;
  int64_t TimeoutMs = 0;
  int64_t TargetMs = 0;
  int64_t Priority = 0; // Zero comes first.
  uint32_t MaxAttempts = 1;
  double Stretch = 1;
  bool IsPublic = false; // No key is needed.
  std::optional<AdvicePolicy> Advice;
  bool operator==(const QueueConfiguration &) const = default;
};

struct PoolConfiguration {
  std::string Name;
  /// Workers refuse what does not fit; without it the book alone guards them.
  bool RejectsOverload = false;
  bool Standby = false;
  uint32_t MaxConnections = 0;
  bool operator==(const PoolConfiguration &) const = default;
};

struct OrganisationConfiguration {
  std::string Name;
  std::vector<std::string> Keys;
  double Weight = 1;
  int64_t Priority = 0;
  Resources Maximum; // Zero in a field means no bound.
  bool operator==(const OrganisationConfiguration &) const = default;
};

struct ServiceConfiguration {
  uint64_t Version = 0;
  std::string Text;
  std::vector<QueueConfiguration> Queues;
  std::vector<PoolConfiguration> Pools;
  std::vector<OrganisationConfiguration> Organisations;
  int64_t MaxBodyBytes = 0;

  const QueueConfiguration *findQueue(std::string_view Name) const;
  const PoolConfiguration *findPool(std::string_view Name) const;
  const OrganisationConfiguration *
  findOrganisation(std::string_view Name) const;
  /// The organisation that holds \p Key, if any does.
  const OrganisationConfiguration *
  findOrganisationByKey(std::string_view Key) const;
  /// The queue with the longest prefix of \p Path under \p Host.
  const QueueConfiguration *matchQueue(std::string_view Host,
                                       std::string_view Path) const;
  /// First reason why the parts do not fit together; empty if they do.
  std::string validationError() const;
};

} // namespace mimosashunt

#endif
