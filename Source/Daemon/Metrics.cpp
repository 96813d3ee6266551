#include "Daemon/Metrics.h"

#include <prometheus/text_serializer.h>

namespace mimosashunt {

Metrics::Metrics() : Registry(std::make_shared<prometheus::Registry>()) {}

prometheus::Counter &Metrics::counter(const std::string &Name,
                                      const std::string &Help,
                                      const Labels &MetricLabels) {
  return prometheus::BuildCounter()
      .Name(Name)
      .Help(Help)
      .Register(*Registry)
      .Add(MetricLabels);
}

prometheus::Gauge &Metrics::gauge(const std::string &Name,
                                  const std::string &Help,
                                  const Labels &MetricLabels) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(*Registry).Add(
      MetricLabels);
}

prometheus::Summary &Metrics::summary(const std::string &Name,
                                      const std::string &Help) {
  const prometheus::Summary::Quantiles Quantiles = {
      {0.5, 0.01}, {0.9, 0.005}, {0.99, 0.001}, {0.999, 0.0005}};
  return prometheus::BuildSummary()
      .Name(Name)
      .Help(Help)
      .Register(*Registry)
      .Add({}, Quantiles);
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Registry->Collect());
}

} // namespace mimosashunt
