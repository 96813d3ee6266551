#include "Control/ControlSettings.h"

#include "Daemon/SchemaParts.h"
#include "Daemon/Settings.h"

namespace mimosashunt {

namespace {

SocketAddress parseAddress(const Json &Text) {
  SocketAddress Address;
  SocketAddress::parse(Text.get<std::string>(), Address);
  return Address;
}

WavePolicy parseWavePolicy(const std::string &Name) {
  if (Name == "one-at-a-time")
    return OneAtATime{};
  if (Name == "fixed-batch")
    return FixedBatch{};
  return BudgetLimited{};
}

} // namespace

Json ControlSettings::schema() {
  Json Peer = objectSchema(
      "a control VM: vm, dataCentre, rpcAddress and adminAddress",
      {"vm", "dataCentre", "rpcAddress", "adminAddress"},
      {{"vm", nameSchema("name of the VM")},
       {"dataCentre", nameSchema("name of its data centre")},
       {"rpcAddress", addressSchema("its rpcListen address, IP:port")},
       {"adminAddress", addressSchema("its adminListen address, IP:port")}});
  Json Properties = {
      {"vm", nameSchema("name of this VM, one of peers")},
      {"rpcListen", addressSchema("IP:port for control and entry VMs")},
      {"adminListen", addressSchema("IP:port for operators and the screen")},
      {"dataFolder", stringSchema("folder on a disk that outlives restarts")},
      {"peers",
       listSchema("all control VMs, the same list on each of them", Peer, 1)},
      {"platform", addressSchema("IP:port of the platform's interface")},
      {"logLevel", choiceSchema("debug, info, warn or error",
                                {"debug", "info", "warn", "error"})},
      {"logFormat", choiceSchema("text or json", {"text", "json"})},
      {"traceFile", stringSchema("file that spans are appended to")},
      {"openScreen",
       {{"type", "boolean"},
        {"description", "true shows the screen without an operator's key"}}},
      {"wavePolicy",
       choiceSchema("as-wide-as-budgets, fixed-batch or one-at-a-time",
                    {"as-wide-as-budgets", "fixed-batch", "one-at-a-time"})},
      {"memoryMb",
       numberSchema("memory that this daemon may use, in MB", 32, 1 << 20)},
      {"entriesPerSnapshot",
       numberSchema("log entries between snapshots", 10, 1000000)}};
  return objectSchema("settings of mimosashunt-control",
                      {"vm", "rpcListen", "adminListen", "dataFolder", "peers"},
                      Properties);
}

bool ControlSettings::read(const Json &SettingsJson, ControlSettings &Result,
                           std::string &Diagnostic) {
  auto Vm = SettingsJson.at("vm").get<std::string>();
  for (const Json &PeerJson : SettingsJson.at("peers")) {
    ControlPeer Peer;
    Peer.Vm = {PeerJson.at("vm").get<std::string>(),
               PeerJson.at("dataCentre").get<std::string>(),
               PeerJson.at("rpcAddress").get<std::string>()};
    Peer.Rpc = parseAddress(PeerJson.at("rpcAddress"));
    Peer.Admin = parseAddress(PeerJson.at("adminAddress"));
    for (const ControlPeer &Other : Result.Peers)
      if (Other.Vm.Vm == Peer.Vm.Vm) {
        Diagnostic = "key 'peers': VM " + Peer.Vm.Vm +
                     " stands twice; expected: each VM once";
        return false;
      }
    if (Peer.Vm.Vm == Vm)
      Result.Self = Peer.Vm;
    Result.Peers.push_back(Peer);
  }
  if (Result.Self.Vm.empty()) {
    Diagnostic =
        "key 'vm': " + Vm + " is not among peers; expected: its name there";
    return false;
  }
  Result.RpcListen = parseAddress(SettingsJson.at("rpcListen"));
  Result.AdminListen = parseAddress(SettingsJson.at("adminListen"));
  Result.DataFolder = SettingsJson.at("dataFolder").get<std::string>();
  if (SettingsJson.contains("platform"))
    Result.Platform = parseAddress(SettingsJson.at("platform"));
  Result.LogLevel = SettingsJson.value("logLevel", Result.LogLevel);
  Result.LogAsJson =
      SettingsJson.value("logFormat", std::string("text")) == "json";
  Result.TraceFile = SettingsJson.value("traceFile", std::string());
  Result.IsScreenPublic = SettingsJson.value("openScreen", false);
  Result.Waves = parseWavePolicy(
      SettingsJson.value("wavePolicy", std::string("as-wide-as-budgets")));
  Result.MemoryMb = SettingsJson.value("memoryMb", Result.MemoryMb);
  Result.EntriesPerSnapshot =
      SettingsJson.value("entriesPerSnapshot", Result.EntriesPerSnapshot);
  return true;
}

} // namespace mimosashunt
