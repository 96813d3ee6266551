// Metrics of one process, in the Prometheus text format.

#ifndef MIMOSASHUNT_DAEMON_METRICS_H
#define MIMOSASHUNT_DAEMON_METRICS_H

#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/summary.h>
#include <string>

namespace mimosashunt {

/// Registry of a process's metrics. The returned references stay valid as long
/// as the registry.
class Metrics {
public:
  using Labels = std::map<std::string, std::string>;

  Metrics();

  prometheus::Counter &counter(const std::string &Name, const std::string &Help,
                               const Labels &MetricLabels = {});
  prometheus::Gauge &gauge(const std::string &Name, const std::string &Help,
                           const Labels &MetricLabels = {});
  /// Adds a summary with the quantiles 0.5, 0.9, 0.99 and 0.999 over a minute.
  prometheus::Summary &summary(const std::string &Name,
                               const std::string &Help);

  /// Returns all metrics in the text format, for GET /metrics.
  std::string text() const;

private:
  std::shared_ptr<prometheus::Registry> Registry;
};

} // namespace mimosashunt

#endif
