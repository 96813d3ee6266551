// Learns how long runs take compared with the estimates of their callers: a
// distribution of the ratio by queue and image, a moving mean by queue, and how
// slow each rack is. Expected load: a few dozen kinds of task, estimates that
// are off by up to 0.9, and a few percent of runs that take several times as
// long as the others.

#ifndef MIMOSASHUNT_SCHEDULING_RUNTIMES_H
#define MIMOSASHUNT_SCHEDULING_RUNTIMES_H

#include "Jobs/JobCommands.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mimosashunt {

/// Mean and standard deviation of a time, or of a ratio of times.
struct TimeEstimate {
  double Mean = 0;
  double Deviation = 0;
};

/// A decaying histogram of the ratio of actual to estimated run time, on a
/// logarithmic axis.
class RunTimeDistribution {
public:
  /// Adds one run and ages the earlier ones. Ratios beyond the axis count at
  /// its ends.
  void add(double Ratio);
  /// Adds what an earlier leader learned, without ageing.
  void addWeight(double Ratio, double Weight);

  /// Decayed number of runs.
  double samples() const { return Total; }
  /// Returns ratio 1 without deviation if there are no samples.
  TimeEstimate ratio() const;
  /// Returns the ratio below which the part \p Q of all runs lies; 1 without
  /// samples.
  double quantile(double Q) const;
  /// Returns what is left, as a ratio to the estimate, of a run that has taken
  /// \p AgeRatio times its estimate. A run that is older than all samples is
  /// expected to take as long again.
  TimeEstimate remaining(double AgeRatio) const;

private:
  static constexpr size_t BinsPerOctave = 4;
  static constexpr int LowestOctave = -4; // 1/16 of the estimate.
  static constexpr size_t Octaves = 11;   // Up to 128 times the estimate.
  static constexpr size_t BinCount = BinsPerOctave * Octaves;

  static size_t binOf(double Ratio);
  /// Returns the ratio at a position on the axis, counted in bins.
  static double ratioAt(double Position);

  std::array<float, BinCount> Bins{};
  double Total = 0;
};

/// The run times that this leader knows of.
class RunTimes {
public:
  static constexpr size_t MaxKinds = 256;
  static constexpr size_t MaxRecordedKinds = 64;

  /// Learns from a run that succeeded. \p Ratio is its run time near its data
  /// over its estimate; negative ratios and such that are no numbers are
  /// ignored.
  void record(const std::string &Queue, const std::string &Image,
              const std::string &Rack, double Ratio);

  /// Returns the moving mean of the ratio over all runs of the queue; 1 if none
  /// is known.
  double meanFactor(const std::string &Queue) const;
  /// Returns the distribution of the kind, without samples if none is known.
  const RunTimeDistribution &find(const std::string &Queue,
                                  const std::string &Image) const;
  /// Returns how many times as long as elsewhere runs take in the rack; 1 if
  /// nothing is known, or they take less than half as long again.
  double rackFactor(const std::string &Rack) const;

  /// Returns the kinds that were used last.
  RecordRunTimes summarize() const;
  /// Adds what an earlier leader recorded. Values that cannot be are left out.
  void restore(const RecordRunTimes &Recorded);
  /// Changes with each run that is learned.
  uint64_t version() const { return Uses; }
  size_t kindCount() const { return Kinds.size(); }

private:
  using KindKey = std::pair<std::string, std::string>; // Queue and image.
  template <class T> struct Entry {
    T Value{};
    uint64_t UsedAt = 0;
  };
  template <class Key, class T>
  T &use(std::map<Key, Entry<T>> &Entries, const Key &Name, T Initial);

  std::map<KindKey, Entry<RunTimeDistribution>> Kinds;
  std::map<std::string, Entry<double>> QueueFactors;
  std::map<std::string, Entry<double>> RackFactors;
  uint64_t Uses = 0;
};

} // namespace mimosashunt

#endif
