// Sends an entry VM's reports to the leading control VM and returns its
// replies. The RPC loop runs on a separate thread, which exchanges messages
// with the daemon's event loop.

#ifndef MIMOSASHUNT_ENTRY_SYNCTASK_H
#define MIMOSASHUNT_ENTRY_SYNCTASK_H

#include "Core/SyncTypes.h"
#include "Links/EventLoop.h"
#include "Links/RpcLoop.h"
#include "Links/SocketAddress.h"
#include "Rpc/ControlClient.h"

#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace mimosashunt {

/// RPC clients for all control VMs, with the one that is taken for the leader.
class SyncTask {
public:
  /// Called on the daemon's event loop with the reply, or with none if the call
  /// failed or timed out.
  using ReplyCallback = std::function<void(std::optional<EntryReply>)>;

  /// Starts the RPC thread. Replies are delivered on \p ReplyLoop.
  SyncTask(EventLoop &ReplyLoop, std::vector<SocketAddress> ControlAddresses);
  ~SyncTask();
  SyncTask(const SyncTask &) = delete;
  SyncTask &operator=(const SyncTask &) = delete;

  /// Sends a report to the control VM that was last known as the leader.
  /// Callable from any thread.
  void send(EntryReport Report, ReplyCallback OnReply);

private:
  /// Keeps the current control VM if it leads; otherwise goes to the leader
  /// that the reply names, or else to the next address.
  void updateLeader(const std::optional<EntryReply> &Reply);

  EventLoop &ReplyLoop;
  const std::vector<SocketAddress> ControlAddresses;
  RpcLoop Loop;
  // The following are accessed only on the RPC loop's thread.
  std::vector<std::unique_ptr<ControlClient>> Clients;
  size_t LeaderIndex = 0; // Index into ControlAddresses of the presumed leader.
  std::thread Thread;
};

} // namespace mimosashunt

#endif
