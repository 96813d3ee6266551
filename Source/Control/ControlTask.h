// The task that owns the replicated state of a control VM. The core, the disk
// log and the RPC connections run on one thread; other threads reach them by
// posting functions.

#ifndef MIMOSASHUNT_CONTROL_CONTROLTASK_H
#define MIMOSASHUNT_CONTROL_CONTROLTASK_H

#include "Control/AdminApi.h"
#include "Control/ControlSettings.h"
#include "Core/ControlCore.h"
#include "Daemon/Logging.h"
#include "Daemon/Tracing.h"
#include "Links/RpcLoop.h"
#include "Rpc/ControlClient.h"
#include "Rpc/ControlServer.h"
#include "Storage/DataFolder.h"
#include "Storage/DiskLog.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace mimosashunt {

/// Runs the control core on its own thread and sends its Raft messages.
class ControlTask : public RaftTransport {
public:
  /// \p OnDiskFailure is called once, on the task's thread, after the disk
  /// fails.
  ControlTask(const ControlSettings &Settings, PlatformPort &Platform,
              const Tracing &Tracer,
              std::function<void(std::error_code)> OnDiskFailure);
  ~ControlTask() override;
  ControlTask(const ControlTask &) = delete;
  ControlTask &operator=(const ControlTask &) = delete;

  /// Opens the data folder and the RPC socket. Must be called before start().
  std::error_code open();
  /// Starts the thread.
  void start();

  /// Runs \p Callback with the core on the task's thread, unless the task is
  /// being torn down. May be called from any thread.
  void post(std::function<void(ControlCore &, AdminApi &)> Callback);

  /// Handles an operator's request on the task's thread. Messages to other
  /// control VMs belong to the request's trace until \p Respond is called; if
  /// several requests are in flight, they belong to the latest one.
  void handle(const HttpRequest &Request, const std::string &TraceParent,
              std::function<void(HttpResponse)> Respond);

  /// Timers of the task's thread, whose current time the views use.
  TimerService &timers() { return Loop.timers(); }

  /// Stops the loop after pending responses are sent, and joins the thread.
  void stop();

private:
  /// Creates the core, the clients and the server on the task's thread.
  void setUp();
  /// Destroys them, on the same thread.
  void tearDown();
  /// Reports a disk failure once and logs changes of the leader.
  void reportStatusChanges();
  void send(const RaftMessage &Message, const std::string &Address) override;
  void sendJoinRequest(const Member &Self, const std::string &Address) override;
  /// Starts the span of a call to another control VM.
  SpanPtr startOutgoingSpan(const char *Name) const;
  /// Returns the client for an address, or null if it is no peer's.
  ControlClient *findClient(const std::string &Address);

  const ControlSettings &Settings;
  PlatformPort &Platform;
  const Tracing &Tracer;
  std::function<void(std::error_code)> OnDiskFailure;
  const Log Logger;
  DataFolder Folder;
  std::unique_ptr<DiskLog> Disk;
  DurableLog LoadedLog;
  int RpcDescriptor = -1;
  RpcLoop Loop;
  // The following members are used on the loop's thread only.
  std::unique_ptr<ControlCore> Core;
  std::unique_ptr<AdminApi> Api;
  std::unique_ptr<ControlServer> Server;
  std::map<std::string, std::unique_ptr<ControlClient>> Clients;
  std::string LoggedLeader;
  /// Trace parent of the operator's request in flight, or empty.
  std::string OperatorTraceParent;
  bool IsFailureReported = false;
  std::thread Thread;
};

} // namespace mimosashunt

#endif
