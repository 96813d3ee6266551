// Runs an entry VM's daemon of the job path.

#include "Fleet/FleetMain.h"
#include "Fleet/GatewayDaemon.h"
#include "platform/CallCodecs.h"

using namespace mimosashunt;

int main(int Count, char **Arguments) {
  FleetSettings Settings;
  std::string File;
  int Status = 0;
  if (!startFleetDaemon(Count, Arguments, "Takes callers' jobs on an entry VM.",
                        Settings, File, Status))
    return Status;
  EventLoop Loop;
  platform::ConfigurationCodec Configurations;
  platform::CallerCalls Codec;
  GatewayDaemon Daemon(Settings, File, Loop, Configurations, Codec);
  return runFleetDaemon(Daemon, File, [&] {
    Daemon.run();
    return true;
  });
}
