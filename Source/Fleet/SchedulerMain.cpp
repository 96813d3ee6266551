// Runs a control VM's daemon of the job path.

#include "Fleet/FleetMain.h"
#include "Fleet/SchedulerDaemon.h"
#include "platform/CallCodecs.h"
#include "platform/VmClient.h"
#include "platform/WorkerClient.h"

using namespace mimosashunt;

int main(int Count, char **Arguments) {
  FleetSettings Settings;
  std::string File;
  int Status = 0;
  if (!startFleetDaemon(Count, Arguments,
                        "Schedules jobs and keeps the agreed state on a "
                        "control VM.",
                        Settings, File, Status))
    return Status;
  EventLoop Loop;
  platform::ConfigurationCodec Configurations;
  platform::ControlCalls Control(Configurations);
  platform::WorkerClient Workers(Loop, Settings.Advice);
  platform::VmClient Vms(Loop, Settings.Vm, Settings.Platform);
  SchedulerDaemon Daemon(Settings, File, Loop,
                         {Configurations, Control, Workers, Vms});
  return runFleetDaemon(Daemon, File, [&] { return Daemon.run(); });
}
