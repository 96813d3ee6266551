// Metrics of the connections that a daemon accepts, and what its log tells of
// those that it refused or closed.

#ifndef MIMOSASHUNT_DAEMON_CONNECTIONMETRICS_H
#define MIMOSASHUNT_DAEMON_CONNECTIONMETRICS_H

#include "Core/JsonFields.h"
#include "Daemon/Metrics.h"
#include "Links/HttpServer.h"

#include <functional>
#include <string>
#include <vector>

namespace mimosashunt {

class ConnectionMetrics {
public:
  explicit ConnectionMetrics(Metrics &Registry) : Registry(Registry) {}

  /// Observes a server under the name of its listener. The server must outlive
  /// the use of this object.
  void add(std::string Listener, const HttpServer &Server);

  /// Sets the metrics to the present values.
  void update();

  /// Calls \p Log for each listener that has refused or closed connections
  /// since the last call, with the listener and the number by reason.
  void logNew(const std::function<void(Json)> &Log);

private:
  struct Observed {
    std::string Listener;
    const HttpServer &Server;
    ServerConnections::LossCounts Logged{};
  };

  Metrics &Registry;
  std::vector<Observed> Servers;
};

} // namespace mimosashunt

#endif
