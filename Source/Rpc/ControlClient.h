// Cap'n Proto RPC client for one control VM. A connection on which a call fails
// or times out is dropped and opened again, since a device on the network path
// may have lost the connection's state.

#ifndef MIMOSASHUNT_RPC_CONTROLCLIENT_H
#define MIMOSASHUNT_RPC_CONTROLCLIENT_H

#include "Core/RaftTypes.h"
#include "Core/SyncTypes.h"
#include "Links/RpcLoop.h"
#include "Links/SocketAddress.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace mimosashunt {

/// Belongs to the thread of its RpcLoop. Connects on the first call.
class ControlClient {
public:
  /// Receives the reply, or none if the call failed.
  using SyncCallback = std::function<void(std::optional<EntryReply>)>;

  /// \p Timeout limits each call and each connection attempt.
  ControlClient(RpcLoop &Loop, SocketAddress Address, Duration Timeout);
  ~ControlClient();
  ControlClient(const ControlClient &) = delete;
  ControlClient &operator=(const ControlClient &) = delete;

  /// Sends without waiting for a reply. The message is dropped if there is no
  /// open connection or too many calls are in flight.
  void sendRaft(const RaftMessage &Message, const std::string &TraceParent);
  /// Asks to join as \p Self; dropped under the same conditions as sendRaft().
  void sendJoin(const Member &Self, const std::string &TraceParent);

  /// Sends a report. \p Done gets no reply if there is no open connection, the
  /// call fails or the control VM does not reply before the timeout.
  void sync(const EntryReport &Report, const SyncCallback &Done);

private:
  struct Connection;
  struct State;

  // Shared with calls in flight, which may outlive this object.
  std::shared_ptr<State> SharedState;
};

} // namespace mimosashunt

#endif
