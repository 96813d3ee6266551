// The scheduler, the job path's daemon on a control VM: holds the replicated
// state and, while this VM is the leader, schedules jobs, carries out
// maintenance waves and moves VMs between pools.

#ifndef MIMOSASHUNT_FLEET_SCHEDULERDAEMON_H
#define MIMOSASHUNT_FLEET_SCHEDULERDAEMON_H

#include "Agreement/Replica.h"
#include "Daemon/ConnectionMetrics.h"
#include "Daemon/Metrics.h"
#include "Fleet/CarriedWorkerPort.h"
#include "Fleet/Codecs.h"
#include "Fleet/EventLog.h"
#include "Fleet/FleetSettings.h"
#include "Fleet/HttpRaftTransport.h"
#include "Fleet/InternalMessages.h"
#include "Fleet/JobIntake.h"
#include "Fleet/OrderCarrier.h"
#include "Fleet/RejectedInput.h"
#include "Fleet/SettingsWatcher.h"
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

/// Interfaces that the platform directory implements.
struct SchedulerPorts {
  const ConfigurationReader &Configurations;
  const ControlCodec &Control;
  WorkerPort &Workers;
  VmPort &Vms;
  /// Counts what the other ports could not read.
  RejectedInput &Rejected;
};

/// Serves workers, operators, entry VMs and other control VMs on one event
/// loop.
class SchedulerDaemon : public ReplicatedState {
public:
  SchedulerDaemon(FleetSettings Settings, std::string SettingsFile,
                  EventLoop &Loop, SchedulerPorts Ports);
  ~SchedulerDaemon() override;

  /// Opens the data folder and the sockets. On failure \p Key is the settings
  /// key with the folder or address that could not be opened.
  std::error_code open(std::string &Key);
  /// Serves until stop() completes or the disk fails. Returns false if the disk
  /// failed.
  bool run();
  /// Begins a graceful stop; callable from any thread.
  void stop();
  /// Reads the settings file again; callable from any thread.
  void reload();

private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;

  void apply(LogIndex Index, const std::string &Command) override;
  std::string snapshot() const override;
  bool canRestore(const std::string &Data) override;
  std::error_code restore(const std::string &Data) override;

  /// Does the pending work at the end of each event loop iteration. Returns
  /// true if there was any.
  bool onTurn();
  void onRoleChange(RaftRole Previous);
  /// Logs the group's members after each change of them in this VM's log.
  void logMembershipChange();
  /// Proposes the start of this VM's leadership. Scheduling begins once the
  /// proposal is committed; the number of committed leaderships is the fencing
  /// token.
  void beginLeadership();
  void endLeadership(const char *Reason);
  /// Exchanges offers with the seeds until the group exists or this disk may
  /// not found one.
  void sendBootstrapOffer();
  /// Lets the other control VMs carry orders while this VM leads a fleet that
  /// is large enough.
  void updateCarriers();
  /// True while this VM is the leader and its scheduler runs.
  bool isLeader() const;

  void handleControlRequest(const ExchangePtr &Exchange);
  /// Forwards a request of a worker or operator to the leader, at most once.
  void forwardToLeader(const ExchangePtr &Exchange);
  void handleWorkerReport(const ExchangePtr &Exchange,
                          const WorkerReport &Report);
  void handleConfigurationUpload(const ExchangePtr &Exchange,
                                 const ServiceConfiguration &Content);
  void handleStartWave(const ExchangePtr &Exchange, const StartWave &Wave);
  void handleEvacuation(const ExchangePtr &Exchange,
                        const EvacuationOrder &Order);
  bool isKnownDataCentre(const std::string &Name) const;
  /// Proposes a command, logs \p Event with the outcome and responds.
  void proposeAndRespond(const ExchangePtr &Exchange, const JobCommand &Command,
                         const char *Event);

  void handleInternalRequest(const ExchangePtr &Exchange);
  void handleJoinRequest(const ExchangePtr &Exchange);
  void handleBootstrapOffer(const ExchangePtr &Exchange);
  SyncReply makeSyncReply();
  ConfigurationReply compressedConfiguration();
  void handleJobRequest(const JobRequest &Request,
                        const JobIntake::ResponseHandler &Respond);
  JobIntakeHooks makeIntakeHooks();
  void propose(const JobCommand &Command, Replica::ProposalCallback Done);
  std::vector<std::string> memberAddresses() const;
  /// Parses the replicated configuration if its version has changed.
  void refreshConfiguration();
  void beginStop();
  /// Logs how late the event loop ran, if it did, and keeps it for the metrics.
  void reportLoopLoad();
  void logRejectedInput();
  /// Counts the stored workers whose address cannot be read. Orders to them are
  /// never sent, so they are not used.
  void countUnusableWorkers();
  std::string metricsText();
  size_t countSilentVoters() const;
  void updateSchedulerMetrics();
  void updateShareMetrics();
  void updateMemoryMetrics();

  const FleetSettings Settings;
  const std::string SettingsFile;
  EventLoop &Loop;
  const SchedulerPorts Ports;
  EventLog Events;
  Metrics Registry;
  HttpRaftTransport Transport;
  HttpClient ForwardClient;
  OrderCarrier Carrier;             // Used while another VM leads.
  CarriedWorkerPort CarriedWorkers; // Used while this VM leads.
  HttpServer ControlServer;
  HttpServer InternalServer;
  HttpServer MetricsServer;
  ConnectionMetrics Connections;

  DataFolder Folder;
  std::unique_ptr<DiskLog> LogStore;
  std::unique_ptr<GroupBootstrap> Bootstrap;
  std::unique_ptr<Replica> Group;
  Membership LoggedMembers;
  JobStore State;
  ServiceConfiguration Configuration; // Parsed from State's text.
  /// Some configuration after Configuration was skipped or not read.
  bool HasMissedConfiguration = false;
  ConfigurationReply
      CompressedConfiguration; // Cached for the version last requested.
  // Set exactly while this VM is the leader and its leadership is committed.
  std::unique_ptr<Dispatcher> Scheduler;
  std::unique_ptr<JobIntake> Intake;
  std::unique_ptr<Maintenance> WaveMaintenance;
  std::unique_ptr<PoolMover> Mover;
  bool LeadershipProposed = false; // In the current term.
  size_t EvacuationsInFlight = 0;  // Proposed orders.
  std::unique_ptr<SettingsWatcher> Watcher;
  bool Stopping = false;
  Instant StopStartedAt;
  TimerId BootstrapTimer = 0;
  TimerId CarriersTimer = 0;
  TimerId LoadTimer = 0;
  LoopLoad LastLoad; // Of the last whole LoadInterval.
};

} // namespace mimosashunt

#endif
