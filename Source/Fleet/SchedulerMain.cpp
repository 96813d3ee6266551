// Main function of the scheduler, the job path's daemon on a control VM.

#include "Fleet/FleetMain.h"
#include "Fleet/SchedulerDaemon.h"
#include "platform/CallCodecs.h"
#include "platform/VmClient.h"
#include "platform/WorkerClient.h"

using namespace mimosashunt;

int main(int ArgumentCount, char **Arguments) {
  FleetSettings Settings;
  std::string SettingsFile;
  int Status = 0;
  if (!loadFleetSettings(ArgumentCount, Arguments,
                         "Schedules jobs and keeps the agreed state on a "
                         "control VM.",
                         Settings, SettingsFile, Status))
    return Status;
  EventLoop Loop;
  RejectedInput Rejected;
  platform::ConfigurationCodec Configurations;
  platform::ControlCalls Control(Configurations);
  platform::WorkerClient Workers(Loop, Settings.AdviceAddress, Rejected);
  platform::VmClient Vms(Loop, Settings.Vm, Settings.PlatformAddress, Rejected);
  SchedulerDaemon Daemon(Settings, SettingsFile, Loop,
                         {Configurations, Control, Workers, Vms, Rejected});
  return runFleetDaemon(Daemon, SettingsFile, [&] { return Daemon.run(); });
}
