// The task that owns the control VM's agreed state: its core, disk and RPC
// links run on one thread, and everything else talks to it by messages.

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

class ControlTask : public RaftTransport {
public:
  /// \p Failed runs on the task's thread when the disk fails.
  ControlTask(const ControlSettings &Settings, PlatformPort &Platform,
              const Tracing &Tracer,
              std::function<void(std::error_code)> Failed);
  ~ControlTask() override;
  ControlTask(const ControlTask &) = delete;
  ControlTask &operator=(const ControlTask &) = delete;

  /// Opens the data folder and the RPC socket, before start().
  std::error_code open();
  void start();

  /// Runs \p Run with the core on the task's thread; callable from any.
  void post(std::function<void(ControlCore &, AdminApi &)> Run);

  /// Runs a change or question of an operator. What is sent to other control
  /// VMs until \p Done belongs to its trace; of several at once, to the last.
  void handle(const HttpRequest &Request, const std::string &TraceParent,
              std::function<void(HttpResponse)> Done);

  /// Present time of the task's thread, for views.
  TimerService &timers() { return Loop.timers(); }

  /// Waits for pending answers, then ends the thread.
  void stop();

private:
  void setUp();
  void tearDown();
  void watch();
  void send(const RaftMessage &Message, const std::string &Address) override;
  void sendJoinRequest(const Member &Self, const std::string &Address) override;
  /// The span of a call to another control VM.
  SpanPtr outgoing(const char *Name) const;
  ControlClient *client(const std::string &Address);

  const ControlSettings &Settings;
  PlatformPort &Platform;
  const Tracing &Tracer;
  std::function<void(std::error_code)> Failed;
  const Log Logger;
  DataFolder Folder;
  std::unique_ptr<DiskLog> Disk;
  DurableLog Durable;
  int RpcDescriptor = -1;
  RpcLoop Loop;
  // The following belong to the loop's thread.
  std::unique_ptr<ControlCore> Core;
  std::unique_ptr<AdminApi> Api;
  std::unique_ptr<ControlServer> Server;
  std::map<std::string, std::unique_ptr<ControlClient>> Clients;
  std::string LoggedLeader;
  std::string ChangeTrace; // Of the operator's call under way, or empty.
  bool FailureTold = false;
  std::thread Thread;
};

} // namespace mimosashunt

#endif
