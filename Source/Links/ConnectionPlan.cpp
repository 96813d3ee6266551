#include "Links/ConnectionPlan.h"

#include <algorithm>
#include <sys/resource.h>

namespace mimosashunt {

namespace {

constexpr int64_t BytesPerMb = 1 << 20;
constexpr int64_t WholePercent = 100;
/// More connections than these are not expected on one VM.
constexpr size_t MaxDescriptors = 1 << 16;
/// A probe and some that have just ended.
constexpr size_t MinConnections = 4;

} // namespace

size_t descriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY)
    return MaxDescriptors;
  return std::min<size_t>(Limit.rlim_cur, MaxDescriptors);
}

int64_t connectionBytes(int64_t MemoryMb, int64_t RestMb, int Percent,
                        int64_t MinBytes) {
  int64_t Bytes = (MemoryMb - RestMb) * BytesPerMb * Percent / WholePercent;
  return std::max(Bytes, MinBytes);
}

ConnectionLimits limitsOf(const ConnectionResources &All, ConnectionPart Part) {
  ConnectionLimits Result;
  Result.Bytes = All.Bytes * Part.BytesPercent / WholePercent;
  size_t Descriptors = All.Descriptors *
                       static_cast<size_t>(Part.DescriptorsPercent) /
                       static_cast<size_t>(WholePercent);
  auto Affordable = static_cast<size_t>(Result.Bytes / ConnectionBaseBytes);
  Result.Connections =
      std::max(std::min(Descriptors, Affordable), MinConnections);
  return Result;
}

} // namespace mimosashunt
