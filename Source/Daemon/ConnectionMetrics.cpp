#include "Daemon/ConnectionMetrics.h"

#include <utility>

namespace mimosashunt {

void ConnectionMetrics::add(std::string Listener, const HttpServer &Server) {
  Servers.push_back({std::move(Listener), Server});
}

void ConnectionMetrics::update() {
  for (const Observed &Item : Servers) {
    const ServerConnections &Connections = Item.Server.connections();
    Registry
        .gauge("mimosashunt_connections", "Open connections",
               {{"listener", Item.Listener}})
        .Set(static_cast<double>(Connections.size()));
    Registry
        .gauge("mimosashunt_connection_bytes",
               "Memory that the connections hold, in bytes",
               {{"listener", Item.Listener}})
        .Set(static_cast<double>(Connections.heldBytes()));
    for (size_t I = 0; I < ConnectionLossCount; ++I)
      if (uint64_t Count = Connections.losses()[I]; Count > 0)
        Registry
            .gauge("mimosashunt_connections_limited",
                   "Requests refused and connections closed so far, by reason",
                   {{"listener", Item.Listener},
                    {"reason", nameOf(static_cast<ConnectionLoss>(I))}})
            .Set(static_cast<double>(Count));
  }
}

void ConnectionMetrics::logNew(const std::function<void(Json)> &Log) {
  for (Observed &Item : Servers) {
    const ServerConnections::LossCounts &Counts =
        Item.Server.connections().losses();
    Json Fields = Json::object();
    for (size_t I = 0; I < ConnectionLossCount; ++I)
      if (uint64_t New = Counts[I] - Item.Logged[I]; New > 0)
        Fields[nameOf(static_cast<ConnectionLoss>(I))] = New;
    Item.Logged = Counts;
    if (Fields.empty())
      continue;
    Fields["listener"] = Item.Listener;
    Fields["connections"] = Item.Server.connections().size();
    Fields["held_bytes"] = Item.Server.connections().heldBytes();
    Log(std::move(Fields));
  }
}

} // namespace mimosashunt
