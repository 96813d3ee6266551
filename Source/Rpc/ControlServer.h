// Serves the Control interface over Cap'n Proto RPC on one listening socket.

#ifndef MIMOSASHUNT_RPC_CONTROLSERVER_H
#define MIMOSASHUNT_RPC_CONTROLSERVER_H

#include "Core/RaftTypes.h"
#include "Core/SyncTypes.h"
#include "Links/RpcLoop.h"
#include "Links/SocketAddress.h"

#include <capnp/rpc-twoparty.h>
#include <functional>
#include <string>
#include <system_error>

namespace mimosashunt {

/// Handlers of the interface's calls, invoked on the RPC loop's thread.
struct ControlHandlers {
  using TraceParent = std::string;
  std::function<void(const RaftMessage &, const TraceParent &)> Raft;
  std::function<void(const Member &, const TraceParent &)> Join;
  std::function<EntryReply(const EntryReport &)> Sync;
};

/// Belongs to the thread of its RpcLoop.
class ControlServer {
public:
  /// Must be called on the loop's thread.
  ControlServer(RpcLoop &Loop, ControlHandlers Handlers);

  /// Accepts connections on \p Descriptor, a listening socket made by
  /// SocketAddress::listen(), and takes ownership of it.
  void serve(int Descriptor);

private:
  RpcLoop &Loop;
  kj::Own<capnp::TwoPartyServer> Server;
  kj::Own<kj::ConnectionReceiver> Receiver;
};

} // namespace mimosashunt

#endif
