// The subcommands of mimosashuntctl: they parse their words, call the control
// VMs, and print results and errors.

#ifndef MIMOSASHUNT_CTL_CTLCOMMANDS_H
#define MIMOSASHUNT_CTL_CTLCOMMANDS_H

#include "Ctl/CtlClient.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace mimosashunt {

/// Exit status of the process, by kind of failure.
enum class CtlStatus {
  Done = 0,
  Failed = 1,
  Usage = 2,
  Conflict = 3,
  NotFound = 4,
  Refused = 5,
  Unreachable = 6,
  Invalid = 7,
};

/// Options common to all subcommands, set by flags.
struct CtlOptions {
  bool AsJson = false;
  bool DryRun = false;
  bool Wait = false;
  std::string OperationId; // If empty, each change gets a random one.
  /// Revision that a repeated change was based on. If empty, the current
  /// revision is read from a control VM.
  std::string IfRevision;
  /// How long to wait for a change to be in force or for a wave to end.
  Duration WaitTimeout = seconds(10);
};

/// Runs subcommands; writes results to \c Out and diagnostics to \c Err.
class CtlCommands {
public:
  CtlCommands(CtlClient &Client, CtlOptions Options, std::ostream &Out,
              std::ostream &Err)
      : Client(Client), Options(std::move(Options)), Out(Out), Err(Err) {}

  /// Runs the subcommand named by the first of \p Words with the others as its
  /// arguments.
  CtlStatus run(const std::vector<std::string> &Words);

  /// Returns the usage text.
  static std::string help();

private:
  CtlStatus bootstrap(const std::vector<std::string> &Words);
  CtlStatus apply(const std::vector<std::string> &Words);
  CtlStatus show(const std::vector<std::string> &Words);
  CtlStatus remove(const std::vector<std::string> &Words);
  CtlStatus keyCommand(const std::vector<std::string> &Words);
  CtlStatus operatorCommand(const std::vector<std::string> &Words);
  CtlStatus poolCommand(const std::vector<std::string> &Words);
  CtlStatus vmCommand(const std::vector<std::string> &Words);
  CtlStatus waveCommand(const std::vector<std::string> &Words);
  CtlStatus watch(const std::vector<std::string> &Words);

  /// Sends a change and reports its result. On success prints \p Done.
  CtlStatus sendChange(const std::string &Method, const std::string &Path,
                       const Json &Body, const std::string &ExpectedRevision,
                       const std::string &Done);
  /// Prints \p Done or the failure; with --wait, waits until the change is in
  /// force.
  CtlStatus reportResult(const CtlReply &Reply, const std::string &Done);
  /// Prints the reason for a failed call and maps it to an exit status.
  CtlStatus reportFailure(const CtlReply &Reply);
  CtlStatus reportUsageError(const std::string &Problem);
  /// Polls until every reachable entry VM runs \p Revision or a later one;
  /// fails when Options.WaitTimeout has passed.
  CtlStatus waitUntilInForce(uint64_t Revision);
  /// Prints the progress of a wave; with --wait, prints each change of it until
  /// the wave has ended.
  CtlStatus showWaveProgress(const std::string &Name);
  /// Prints the resource at \p Path as JSON.
  CtlStatus printResource(const std::string &Path);

  CtlClient &Client;
  const CtlOptions Options;
  std::ostream &Out;
  std::ostream &Err;
};

/// Returns one line "path: old -> new" for each difference of two documents.
std::vector<std::string> describeDifference(const Json &Old, const Json &New);

} // namespace mimosashunt

#endif
