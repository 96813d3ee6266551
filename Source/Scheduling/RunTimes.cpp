#include "Scheduling/RunTimes.h"

#include <algorithm>
#include <cmath>

namespace mimosashunt {

namespace {

/// Ageing of a distribution with each run: it remembers about 100 runs, of
/// which five lie above the 95th percentile.
constexpr double Decay = 0.99;
/// Weight of a run in the moving mean of its queue.
constexpr double MeanSmoothing = 0.02;
/// Weight of a run in the factor of its rack. Workers become slow within
/// seconds, so it follows about ten runs.
constexpr double RackSmoothing = 0.1;
/// Upper bound of a run's ratio to the mean of its kind in the factor of its
/// rack, so that single stragglers weigh little.
constexpr double MaxRackRatio = 8;
/// Smaller factors count as 1: single stragglers cause them.
constexpr double MinRackFactor = 1.5;
/// Upper end of the histogram's axis; longer runs count as this.
constexpr double MaxRatio = 128;
/// Weight of the assumption that a run takes as long again as it has.
constexpr double UnseenWeight = 0.5;
constexpr size_t QuantileCount = 20;

} // namespace

size_t RunTimeDistribution::binOf(double Ratio) {
  double Position = (std::log2(std::max(Ratio, 1e-9)) - LowestOctave) *
                    static_cast<double>(BinsPerOctave);
  return static_cast<size_t>(
      std::clamp(Position, 0.0, static_cast<double>(BinCount - 1)));
}

double RunTimeDistribution::ratioAt(double Position) {
  return std::exp2(Position / static_cast<double>(BinsPerOctave) +
                   LowestOctave);
}

void RunTimeDistribution::addWeight(double Ratio, double Weight) {
  Bins[binOf(Ratio)] += static_cast<float>(Weight);
  Total += Weight;
}

void RunTimeDistribution::add(double Ratio) {
  for (float &Bin : Bins)
    Bin *= static_cast<float>(Decay);
  Total *= Decay;
  addWeight(Ratio, 1);
}

TimeEstimate RunTimeDistribution::ratio() const {
  if (Total <= 0)
    return {1, 0};
  double Sum = 0;
  double Squares = 0;
  for (size_t I = 0; I < BinCount; ++I) {
    if (Bins[I] == 0)
      continue;
    double Ratio = ratioAt(static_cast<double>(I) + 0.5);
    Sum += Bins[I] * Ratio;
    Squares += Bins[I] * Ratio * Ratio;
  }
  double Mean = Sum / Total;
  return {Mean, std::sqrt(std::max(0.0, Squares / Total - Mean * Mean))};
}

double RunTimeDistribution::quantile(double Q) const {
  if (Total <= 0)
    return 1;
  double Left = std::clamp(Q, 0.0, 1.0) * Total;
  size_t Last = 0;
  for (size_t I = 0; I < BinCount; ++I) {
    if (Bins[I] == 0)
      continue;
    if (Left <= Bins[I])
      return ratioAt(static_cast<double>(I) + Left / Bins[I]);
    Left -= Bins[I];
    Last = I + 1;
  }
  return ratioAt(static_cast<double>(Last));
}

TimeEstimate RunTimeDistribution::remaining(double AgeRatio) const {
  double Weight = Total > 0 ? 0 : 1;
  // Without samples the run is assumed to take its estimate.
  double Sum = Total > 0 ? 0 : std::max(0.0, 1 - AgeRatio);
  double Squares = Sum * Sum;
  if (Total <= 0 && AgeRatio >= 1)
    Weight = 0;
  for (size_t I = AgeRatio > 0 ? binOf(AgeRatio) : 0; I < BinCount; ++I) {
    if (Bins[I] == 0)
      continue;
    double From = std::max(AgeRatio, ratioAt(static_cast<double>(I)));
    double Width =
        ratioAt(static_cast<double>(I + 1)) - ratioAt(static_cast<double>(I));
    double To = ratioAt(static_cast<double>(I + 1));
    if (To <= From)
      continue;
    double Part = Bins[I] * (To - From) / Width;
    double Left = (From + To) / 2 - AgeRatio;
    Weight += Part;
    Sum += Part * Left;
    Squares += Part * Left * Left;
  }
  Weight += UnseenWeight;
  Sum += UnseenWeight * AgeRatio;
  Squares += UnseenWeight * AgeRatio * AgeRatio;
  double Mean = Sum / Weight;
  return {Mean, std::sqrt(std::max(0.0, Squares / Weight - Mean * Mean))};
}

template <class Key, class T>
T &RunTimes::use(std::map<Key, Entry<T>> &Entries, const Key &Name, T Initial) {
  auto It = Entries.find(Name);
  if (It == Entries.end()) {
    if (Entries.size() >= MaxKinds)
      Entries.erase(std::min_element(Entries.begin(), Entries.end(),
                                     [](const auto &A, const auto &B) {
                                       return A.second.UsedAt < B.second.UsedAt;
                                     }));
    It = Entries.try_emplace(Name, Entry<T>{std::move(Initial), 0}).first;
  }
  It->second.UsedAt = Uses;
  return It->second.Value;
}

void RunTimes::record(const std::string &Queue, const std::string &Image,
                      const std::string &Rack, double Ratio) {
  if (!(Ratio >= 0))
    return;
  Ratio = std::min(Ratio, MaxRatio);
  ++Uses;
  double &Factor = use(QueueFactors, Queue, 1.0);
  Factor += MeanSmoothing * (Ratio - Factor);
  RunTimeDistribution &Kind = use(Kinds, KindKey(Queue, Image), {});
  if (!Rack.empty() && Kind.samples() > 0) {
    double &Slowness = use(RackFactors, Rack, 1.0);
    double Compared = Ratio / std::max(Kind.ratio().Mean, 1e-3);
    Slowness += RackSmoothing * (std::min(Compared, MaxRackRatio) - Slowness);
  }
  Kind.add(Ratio / rackFactor(Rack));
}

double RunTimes::meanFactor(const std::string &Queue) const {
  auto It = QueueFactors.find(Queue);
  return It == QueueFactors.end() ? 1.0 : It->second.Value;
}

const RunTimeDistribution &RunTimes::find(const std::string &Queue,
                                          const std::string &Image) const {
  static const RunTimeDistribution Unknown;
  auto It = Kinds.find({Queue, Image});
  return It == Kinds.end() ? Unknown : It->second.Value;
}

double RunTimes::rackFactor(const std::string &Rack) const {
  auto It = RackFactors.find(Rack);
  bool IsSlow = It != RackFactors.end() && It->second.Value >= MinRackFactor;
  return IsSlow ? It->second.Value : 1.0;
}

RecordRunTimes RunTimes::summarize() const {
  std::vector<std::pair<uint64_t, const KindKey *>> Latest;
  Latest.reserve(Kinds.size());
  for (const auto &[Name, Kind] : Kinds)
    Latest.emplace_back(Kind.UsedAt, &Name);
  std::sort(Latest.rbegin(), Latest.rend());
  Latest.resize(std::min(Latest.size(), MaxRecordedKinds));
  RecordRunTimes Result;
  for (const auto &[UsedAt, Name] : Latest) {
    const RunTimeDistribution &Kind = Kinds.at(*Name).Value;
    RunTimeSummary &Row = Result.Kinds.emplace_back();
    Row.Queue = Name->first;
    Row.Image = Name->second;
    // Single precision takes half the space in the log.
    Row.Samples = static_cast<float>(Kind.samples());
    for (size_t I = 0; I < QuantileCount; ++I)
      Row.Quantiles.push_back(static_cast<float>(
          Kind.quantile((static_cast<double>(I) + 0.5) /
                        static_cast<double>(QuantileCount))));
  }
  return Result;
}

void RunTimes::restore(const RecordRunTimes &Recorded) {
  struct Sum {
    double Samples = 0;
    double Ratios = 0;
  };
  std::map<std::string, Sum> Queues;
  size_t Rows = std::min(Recorded.Kinds.size(), MaxRecordedKinds);
  for (size_t I = 0; I < Rows; ++I) {
    const RunTimeSummary &Row = Recorded.Kinds[I];
    std::vector<double> Ratios;
    for (double Ratio : Row.Quantiles)
      if (Ratio >= 0 && Ratios.size() < QuantileCount)
        Ratios.push_back(std::min(Ratio, MaxRatio));
    if (!(Row.Samples > 0) || Ratios.empty())
      continue;
    double Samples = std::min(Row.Samples, 1 / (1 - Decay));
    RunTimeDistribution &Kind = use(Kinds, KindKey(Row.Queue, Row.Image), {});
    double Weight = Samples / static_cast<double>(Ratios.size());
    Sum &Queue = Queues[Row.Queue];
    Queue.Samples += Samples;
    for (double Ratio : Ratios) {
      Kind.addWeight(Ratio, Weight);
      Queue.Ratios += Ratio * Weight;
    }
  }
  for (const auto &[Name, Queue] : Queues) {
    double Known = std::min(1.0, MeanSmoothing * Queue.Samples);
    use(QueueFactors, Name, 1.0) =
        1 + Known * (Queue.Ratios / Queue.Samples - 1);
  }
}

} // namespace mimosashunt
