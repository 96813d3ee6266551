#include "Fleet/FleetSettings.h"

#include "Daemon/SchemaParts.h"
#include "Daemon/Settings.h"

namespace mimosashunt {

namespace {

Json numberOf(const std::string &Description) {
  return {{"type", "number"}, {"minimum", 0}, {"description", Description}};
}

std::optional<SocketAddress> addressAt(const Json &In, const char *Key) {
  if (!In.contains(Key))
    return std::nullopt;
  SocketAddress Address;
  SocketAddress::parse(In.at(Key).get<std::string>(), Address);
  return Address;
}

/// A duration that stands in the settings as a number of units.
Duration durationAt(const Json &In, const char *Key, double UnitMicros,
                    Duration Default) {
  if (!In.contains(Key))
    return Default;
  return Duration(static_cast<int64_t>(In.at(Key).get<double>() * UnitMicros));
}

Duration millisAt(const Json &In, const char *Key, Duration Default) {
  constexpr double MicrosPerMilli = 1e3;
  return durationAt(In, Key, MicrosPerMilli, Default);
}

Duration secondsAt(const Json &In, const char *Key, Duration Default) {
  constexpr double MicrosPerSecond = 1e6;
  return durationAt(In, Key, MicrosPerSecond, Default);
}

std::string portOf(const std::string &Address) {
  return Address.substr(Address.find(':') + 1);
}

std::string ipOf(const std::string &Address) {
  return Address.substr(0, Address.find(':'));
}

} // namespace

Json FleetSettings::schema() {
  Json Properties = {
      {"vm", nameSchema("name of this VM")},
      {"dataCentre", nameSchema("name of its data centre")},
      {"internalListen", addressSchema("IP:port for the system's own processes,"
                                       " with the same port on each VM")},
      {"seeds", listSchema("controlListen addresses of control VMs",
                           addressSchema("IP:port of a control VM"), 1)},
      {"metricsListen", addressSchema("IP:port for GET /metrics")},
      {"logLevel", choiceSchema("debug, info, warn or error",
                                {"debug", "info", "warn", "error"})},
      {"graceSeconds", numberOf("seconds from the stop signal to the kill")},
      {"callersListen", addressSchema("IP:port for callers")},
      {"readyListen", addressSchema("IP:port for the balancer's probe")},
      {"controlListen", addressSchema("IP:port for operators and workers")},
      {"dataFolder", stringSchema("folder on a disk that outlives restarts")},
      {"firstStart",
       {{"type", "boolean"},
        {"description", "true only when the whole system starts for the first "
                        "time, with empty disks"}}},
      {"platform", addressSchema("IP:port of the platform's interface")},
      {"advice", addressSchema("IP:port of the advice service")},
      {"platformOrdersPerSecond", numberOf("most orders to the platform")},
      {"longestLeaseMs", numberOf("longest lease that workers grant")},
      {"orderPauseMs",
       numberOf("milliseconds between two leaders' orders for one VM")},
      {"noticeMs", numberOf("milliseconds that a long-running task may be away "
                            "before it counts as missed")},
      {"maintenanceSeconds", numberOf("seconds that a maintenance takes")}};
  return objectSchema("settings of the job path's daemons",
                      {"vm", "dataCentre", "internalListen", "seeds"},
                      Properties);
}

bool FleetSettings::read(const Json &In, FleetSettings &Result,
                         std::string &Diagnostic) {
  Result.Vm = In.at("vm").get<std::string>();
  Result.DataCentre = In.at("dataCentre").get<std::string>();
  Result.Internal = *addressAt(In, "internalListen");
  for (const Json &Seed : In.at("seeds")) {
    SocketAddress Address;
    SocketAddress::parse(Seed.get<std::string>(), Address);
    Result.Seeds.push_back(Address);
  }
  Result.MetricsListen = addressAt(In, "metricsListen");
  Result.LogLevel = In.value("logLevel", Result.LogLevel);
  Result.Grace = secondsAt(In, "graceSeconds", Result.Grace);
  Result.CallersListen = addressAt(In, "callersListen");
  Result.ReadyListen = addressAt(In, "readyListen");
  Result.ControlListen = addressAt(In, "controlListen");
  Result.DataFolder = In.value("dataFolder", std::string());
  Result.FirstStart = In.value("firstStart", false);
  Result.Platform = addressAt(In, "platform");
  Result.Advice = addressAt(In, "advice");
  Result.PlatformOrdersPerSecond =
      In.value("platformOrdersPerSecond", Result.PlatformOrdersPerSecond);
  Result.LongestLease = millisAt(In, "longestLeaseMs", Result.LongestLease);
  Result.OrderPause = millisAt(In, "orderPauseMs", Result.OrderPause);
  Result.MaintenanceTime =
      secondsAt(In, "maintenanceSeconds", Result.MaintenanceTime);
  bool IsControl = Result.ControlListen.has_value();
  if (IsControl && Result.DataFolder.empty()) {
    Diagnostic = "key 'dataFolder': missing; expected: a folder on this control"
                 " VM's disk";
    return false;
  }
  return true;
}

std::vector<std::string> FleetSettings::seedsInternal() const {
  std::vector<std::string> Result;
  for (const SocketAddress &Seed : Seeds)
    Result.push_back(Seed.ip() + ":" + portOf(Internal.text()));
  return Result;
}

std::string
FleetSettings::controlAddressOf(const std::string &InternalAddress) const {
  if (InternalAddress.empty() || Seeds.empty())
    return {};
  return ipOf(InternalAddress) + ":" + portOf(Seeds.front().text());
}

} // namespace mimosashunt
