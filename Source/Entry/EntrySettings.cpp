#include "Entry/EntrySettings.h"

#include "Daemon/SchemaParts.h"
#include "Daemon/Settings.h"

namespace mimosashunt {

namespace {

/// Parses an address that the schema check has already validated.
SocketAddress parseAddress(const Json &Text) {
  SocketAddress Address;
  SocketAddress::parse(Text.get<std::string>(), Address);
  return Address;
}

} // namespace

Json EntrySettings::schema() {
  Json Entry = objectSchema(
      "an entry VM: vm, dataCentre and peerAddress",
      {"vm", "dataCentre", "peerAddress"},
      {{"vm", nameSchema("name of the VM")},
       {"dataCentre", nameSchema("name of its data centre")},
       {"peerAddress", addressSchema("its peerListen address, IP:port")}});
  Json Properties = {
      {"vm", nameSchema("name of this VM, one of entries")},
      {"listen", addressSchema("IP:port for callers' requests")},
      {"peerListen",
       addressSchema("IP:port for entry VMs, backend servers and metrics")},
      {"entries",
       listSchema("all entry VMs, the same list on each of them", Entry, 1)},
      {"control",
       listSchema("RPC addresses of the control VMs",
                  addressSchema("IP:port of a control VM's rpcListen"), 1)},
      {"logLevel", choiceSchema("debug, info, warn or error",
                                {"debug", "info", "warn", "error"})},
      {"logFormat", choiceSchema("text or json", {"text", "json"})},
      {"traceFile", stringSchema("file that spans are appended to")},
      {"traceEvery",
       numberSchema("a new trace is sampled once in this many requests", 1,
                    1000000)},
      {"maxBodyBytes",
       numberSchema("largest request body in bytes", 1, 16 << 20)},
      {"memoryMb",
       numberSchema("memory that this daemon may use, in MB", 32, 1 << 20)},
      {"stopGraceMillis",
       numberSchema("time from failing readiness to closing the listening "
                    "socket, in milliseconds",
                    0, 60000)},
      {"syncMillis",
       numberSchema("time between synchronisations in milliseconds", 50,
                    1000)}};
  return objectSchema("settings of mimosashunt-entry",
                      {"vm", "listen", "peerListen", "entries", "control"},
                      Properties);
}

bool EntrySettings::read(const Json &In, EntrySettings &Result,
                         std::string &Diagnostic) {
  auto Vm = In.at("vm").get<std::string>();
  bool FoundSelf = false;
  for (const Json &EntryJson : In.at("entries")) {
    EntryVm Entry{EntryJson.at("vm").get<std::string>(),
                  EntryJson.at("dataCentre").get<std::string>(),
                  EntryJson.at("peerAddress").get<std::string>()};
    for (const EntryVm &Other : Result.EntryVms)
      if (Other.Vm == Entry.Vm) {
        Diagnostic = "key 'entries': VM " + Entry.Vm +
                     " stands twice; expected: each VM once";
        return false;
      }
    Result.EntryVms.push_back(Entry);
    if (Entry.Vm == Vm) {
      Result.Self = Entry;
      FoundSelf = true;
    }
  }
  if (!FoundSelf) {
    Diagnostic = "key 'vm': " + Vm +
                 " is not among entries; expected: its "
                 "name there";
    return false;
  }
  Result.ListenAddress = parseAddress(In.at("listen"));
  Result.PeerListenAddress = parseAddress(In.at("peerListen"));
  for (const Json &AddressText : In.at("control"))
    Result.ControlAddresses.push_back(parseAddress(AddressText));
  Result.LogLevel = In.value("logLevel", Result.LogLevel);
  Result.LogAsJson = In.value("logFormat", std::string("text")) == "json";
  Result.TraceFile = In.value("traceFile", std::string());
  Result.TraceSamplingInterval =
      In.value("traceEvery", Result.TraceSamplingInterval);
  Result.MaxBodyBytes = In.value("maxBodyBytes", Result.MaxBodyBytes);
  Result.MemoryMb = In.value("memoryMb", Result.MemoryMb);
  Result.SyncInterval =
      milliseconds(In.value("syncMillis", toMillis(Result.SyncInterval)));
  Result.StopGrace =
      milliseconds(In.value("stopGraceMillis", toMillis(Result.StopGrace)));
  return true;
}

} // namespace mimosashunt
