// Settings of an entry VM's daemon: their JSON Schema, defaults and parsing.

#ifndef MIMOSASHUNT_ENTRY_ENTRYSETTINGS_H
#define MIMOSASHUNT_ENTRY_ENTRYSETTINGS_H

#include "Core/EntryCore.h"
#include "Links/SocketAddress.h"

#include <string>
#include <vector>

namespace mimosashunt {

/// Settings of one entry VM, with the defaults of the optional ones.
struct EntrySettings {
  /// This entry VM's element of EntryVms.
  EntryVm Self;
  /// Address on which callers' requests arrive from the load balancer.
  SocketAddress ListenAddress;
  /// Address that serves other entry VMs, backend servers and metrics.
  SocketAddress PeerListenAddress;
  /// All entry VMs, this one included; the list is the same on each of them.
  std::vector<EntryVm> EntryVms;
  /// RPC addresses of the control VMs.
  std::vector<SocketAddress> ControlAddresses;
  std::string LogLevel = "info";
  bool LogAsJson = false;
  /// File to which spans are appended; empty if none are written.
  std::string TraceFile;
  /// One in this many requests starts a sampled trace.
  unsigned TraceSamplingInterval = 100;
  /// Largest request body that callers may send, in bytes.
  size_t MaxBodyBytes = 1 << 20;
  /// Memory that this daemon may use, in MB.
  int64_t MemoryMb = 128;
  /// Time between synchronisations with the leading control VM.
  Duration SyncInterval = milliseconds(250);
  /// Time during a graceful stop from failing the readiness check to closing
  /// the listening socket. New connections are accepted until then.
  Duration StopGrace = seconds(2);

  /// JSON Schema of the settings file.
  static Json schema();
  /// Reads settings that conform to schema(). Returns false and a one-line
  /// \p Diagnostic if they break a rule that the schema cannot express: an
  /// entry VM listed twice, or this VM missing from the list.
  static bool read(const Json &In, EntrySettings &Result,
                   std::string &Diagnostic);
};

} // namespace mimosashunt

#endif
