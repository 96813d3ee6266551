// Waits for the signals that ask a daemon to stop.

#ifndef MIMOSASHUNT_DAEMON_SIGNALS_H
#define MIMOSASHUNT_DAEMON_SIGNALS_H

namespace mimosashunt {

/// Blocks SIGTERM, SIGINT and SIGHUP for this and later threads and ignores
/// SIGPIPE.
/// Call before any thread starts.
void blockStopSignals();

/// Waits until SIGTERM or SIGINT arrives.
void waitForStopSignal();

enum class DaemonSignal { Stop, Reload };

/// Waits until SIGTERM or SIGINT (stop) or SIGHUP (reload) arrives.
DaemonSignal waitForSignal();

} // namespace mimosashunt

#endif
