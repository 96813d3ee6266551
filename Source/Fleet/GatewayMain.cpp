// Main function of the gateway, the job path's daemon on an entry VM.

#include "Fleet/FleetMain.h"
#include "Fleet/GatewayDaemon.h"
#include "platform/CallCodecs.h"

using namespace mimosashunt;

int main(int ArgumentCount, char **Arguments) {
  FleetSettings Settings;
  std::string SettingsFile;
  int Status = 0;
  if (!loadFleetSettings(ArgumentCount, Arguments,
                         "Takes callers' jobs on an entry VM.", Settings,
                         SettingsFile, Status))
    return Status;
  EventLoop Loop;
  platform::ConfigurationCodec Configurations;
  platform::CallerCalls Codec;
  GatewayDaemon Daemon(Settings, SettingsFile, Loop, Configurations, Codec);
  return runFleetDaemon(Daemon, SettingsFile, [&] {
    Daemon.run();
    return true;
  });
}
