// The part of the operators' configuration that the job path uses: queues,
// pools, organisations and limits under one version. The accepted text is kept
// verbatim, since operators read it back.

#ifndef MIMOSASHUNT_JOBS_SERVICECONFIGURATION_H
#define MIMOSASHUNT_JOBS_SERVICECONFIGURATION_H

#include "Jobs/JobTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosashunt {

/// Timing of placement advice for the steps of a queue.
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
  int64_t Priority = 0; // Zero is the highest priority.
  uint32_t MaxAttempts = 1;
  /// Factor on the critical path of a job; the product plus TargetMs is the
  /// latency objective of the job.
  double Stretch = 1;
  bool IsPublic = false; // Callers need no key.
  std::optional<AdvicePolicy> Advice;
  /// The version since which the queue is known to have had this pool; not part
  /// of the text.
  uint64_t PoolSince = 0;
  bool operator==(const QueueConfiguration &) const = default;
};

struct PoolConfiguration {
  std::string Name;
  /// Workers reject tasks that exceed their capacity; otherwise only the
  /// accounting of the scheduler prevents overload.
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
  Resources Maximum; // Limit on running tasks; zero in a field means no limit.
  bool operator==(const OrganisationConfiguration &) const = default;
};

/// Limits of callers' connections; zero in a field if the configuration does
/// not name it.
struct CallerLimits {
  int64_t MaxHeaderBytes = 0;
  int64_t MaxBodyBytes = 0;
  int64_t HeaderTimeoutMs = 0;
  int64_t IdleTimeoutMs = 0;
  bool operator==(const CallerLimits &) const = default;
};

struct ServiceConfiguration {
  uint64_t Version = 0;
  std::string Text;
  std::vector<QueueConfiguration> Queues;
  std::vector<PoolConfiguration> Pools;
  std::vector<OrganisationConfiguration> Organisations;
  CallerLimits Limits;

  const QueueConfiguration *findQueue(std::string_view Name) const;
  const PoolConfiguration *findPool(std::string_view Name) const;
  const OrganisationConfiguration *
  findOrganisation(std::string_view Name) const;
  /// Returns the organisation that owns \p Key; null if none does.
  const OrganisationConfiguration *
  findOrganisationByKey(std::string_view Key) const;
  /// Returns the queue with the longest prefix of \p Path under \p Host; null
  /// if none matches.
  const QueueConfiguration *matchQueue(std::string_view Host,
                                       std::string_view Path) const;
  /// Sets PoolSince of each queue. \p Previous is the configuration that this
  /// one replaced, or an empty one if some in between are not known.
  void setPoolVersions(const ServiceConfiguration &Previous);
  /// Returns the first inconsistency of the configuration; empty if it is
  /// valid.
  std::string validationError() const;
};

} // namespace mimosashunt

#endif
