// The entry VM's daemon of the job path: reads callers' calls, checks queue,
// key and form by the configuration in force, and carries them to the leader.
// It has no disk and acknowledges only what the leader has committed.

#ifndef MIMOSASHUNT_FLEET_GATEWAYDAEMON_H
#define MIMOSASHUNT_FLEET_GATEWAYDAEMON_H

#include "Daemon/Metrics.h"
#include "Fleet/Codecs.h"
#include "Fleet/EventLog.h"
#include "Fleet/FleetSettings.h"
#include "Fleet/LeaderLink.h"
#include "Fleet/SettingsWatch.h"
#include "Links/EventLoop.h"
#include "Links/HttpServer.h"

#include <memory>
#include <string>

namespace mimosashunt {

class GatewayDaemon {
public:
  GatewayDaemon(FleetSettings Settings, std::string File, EventLoop &Loop,
                const ConfigurationReader &Reader, const CallerCodec &Codec);

  /// Opens the sockets; \p Key names the setting at fault.
  std::error_code open(std::string &Key);
  void run();
  /// Begins a graceful stop; callable from any thread.
  void stop();
  /// Reads the settings file again; callable from any thread.
  void reload();

private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;

  void onCaller(const ExchangePtr &Exchange);
  void onReadiness(const ExchangePtr &Exchange);
  void carry(const ExchangePtr &Exchange, const JobRequest &Call);
  void beginStop();
  void checkStopped();

  const FleetSettings Settings;
  const std::string File; // Of the settings.
  EventLoop &Loop;
  const CallerCodec &Codec;
  EventLog Events;
  Metrics Measured;
  LeaderLink Link;
  HttpServer Callers;
  HttpServer Ready;
  HttpServer MetricsServer;
  std::unique_ptr<SettingsWatch> Watch;
  bool Stopping = false;
  bool Closing = false;
  Instant StopBegan;
  prometheus::Summary &CallSeconds;
};

} // namespace mimosashunt

#endif
