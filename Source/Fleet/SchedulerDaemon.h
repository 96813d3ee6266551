// The control VM's daemon of the job path: the replicated state, and while this
// VM leads, the scheduler and the maintenance of VMs.

#ifndef MIMOSASHUNT_FLEET_SCHEDULERDAEMON_H
#define MIMOSASHUNT_FLEET_SCHEDULERDAEMON_H

#include "Agreement/Replica.h"
#include "Daemon/Metrics.h"
#include "Fleet/AgreementLinks.h"
#include "Fleet/Codecs.h"
#include "Fleet/EventLog.h"
#include "Fleet/FleetSettings.h"
#include "Fleet/InternalMessages.h"
#include "Fleet/SettingsWatch.h"
#include "Links/EventLoop.h"
#include "Links/HttpServer.h"
#include "Pools/Maintenance.h"
#include "Pools/PoolMover.h"
#include "Scheduling/Dispatcher.h"
#include "Storage/DataFolder.h"
#include "Storage/DiskLog.h"

#include <memory>
#include <optional>
#include <string>

namespace mimosashunt {

/// What the platform's folder provides.
struct SchedulerPorts {
  const ConfigurationReader &Configurations;
  const ControlCodec &Control;
  WorkerPort &Workers;
  VmPort &Vms;
};

class SchedulerDaemon : public ReplicatedState {
public:
  SchedulerDaemon(FleetSettings Settings, std::string File, EventLoop &Loop,
                  SchedulerPorts Ports);
  ~SchedulerDaemon() override;

  /// Opens the data folder and the sockets; \p Key names the setting at fault.
  std::error_code open(std::string &Key);
  /// Serves until stop(). Returns false if the disk failed.
  bool run();
  /// Begins a graceful stop; callable from any thread.
  void stop();
  /// Reads the settings file again; callable from any thread.
  void reload();

private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;
  using AnswerCall = std::function<void(const JobResponse &)>;

  void apply(LogIndex Index, const std::string &Command) override;
  std::string snapshot() const override;
  void restore(const std::string &Data) override;

  bool turn();
  void onRoleChange();
  void beginLeadership();
  void endLeadership(const char *Why);
  void onFounding();
  bool leads() const;

  void onControl(const ExchangePtr &Exchange);
  void passOn(const ExchangePtr &Exchange);
  void onReport(const ExchangePtr &Exchange, const WorkerReport &Report);
  void onConfiguration(const ExchangePtr &Exchange,
                       const ServiceConfiguration &Content);
  void onWave(const ExchangePtr &Exchange, const StartWave &Wave);
  void proposeFor(const ExchangePtr &Exchange, const JobCommand &Command,
                  const char *Event);

  void onInternal(const ExchangePtr &Exchange);
  void onOffer(const ExchangePtr &Exchange);
  SyncReply sync();
  ConfigurationReply packedConfiguration();
  void onCall(const JobRequest &Call, const AnswerCall &Answer);
  void submit(const JobRequest &Call, const AnswerCall &Answer);
  void cancel(const JobRequest &Call, const AnswerCall &Answer);
  void propose(const JobCommand &Command, Replica::ProposalCallback Done);
  std::vector<std::string> memberAddresses() const;
  void refreshConfiguration();
  void beginStop();
  std::string metricsText();
  void measureScheduler();

  const FleetSettings Settings;
  const std::string File; // Of the settings.
  EventLoop &Loop;
  const SchedulerPorts Ports;
  EventLog Events;
  Metrics Measured;
  AgreementLinks Links;
  HttpClient Forwarding;
  HttpServer Control;
  HttpServer Internal;
  HttpServer MetricsServer;

  DataFolder Folder;
  std::unique_ptr<DiskLog> Store;
  std::unique_ptr<GroupBootstrap> Founders;
  std::unique_ptr<Replica> Group;
  JobStore State;
  ServiceConfiguration Configuration; // Parsed from State's text.
  ConfigurationReply Packed;          // The last that was asked for.
  // Alive exactly while this VM leads and its leadership is agreed on.
  std::unique_ptr<Dispatcher> Scheduler;
  std::unique_ptr<Maintenance> Waves;
  std::unique_ptr<PoolMover> Mover;
  bool LeadershipAsked = false;
  std::unique_ptr<SettingsWatch> Watch;
  bool Stopping = false;
  Instant StopBegan;
  TimerId FoundingTimer = 0;
};

} // namespace mimosashunt

#endif
