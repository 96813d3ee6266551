// Handles the signals that stop a daemon or make it reload.

#ifndef MIMOSASHUNT_DAEMON_SIGNALS_H
#define MIMOSASHUNT_DAEMON_SIGNALS_H

namespace mimosashunt {

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and the threads it starts,
/// and ignores SIGPIPE. Must be called before any thread starts.
void blockStopSignals();

/// Waits until SIGTERM or SIGINT arrives.
void waitForStopSignal();

/// What a signal asks of the daemon.
enum class DaemonSignal { Stop, Reload };

/// Waits until SIGTERM or SIGINT (stop) or SIGHUP (reload) arrives.
DaemonSignal waitForSignal();

} // namespace mimosashunt

#endif
