// Entry point of mimosashuntctl, the command line tool of operators: parses
// flags and runs one subcommand.

#include "Ctl/CtlCommands.h"
#include "Ctl/ExplainCommand.h"

#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(control, "", "admin addresses of the control VMs, with commas");
DEFINE_string(key_file, "", "file that holds the operator's key");
DEFINE_string(output, "text", "text or json");
DEFINE_string(operation_id, "", "operation id of an earlier change to repeat");
DEFINE_string(if_revision, "", "revision that a repeated change was made on");
DEFINE_bool(dry_run, false, "check a change and show it, but do not make it");
DEFINE_bool(wait, false, "wait until a change is in force or a wave has ended");
DEFINE_string(trace_file, "", "file that spans are appended to, if any");
DEFINE_int32(patience_ms, 10000, "how long to wait and to repeat calls");

using namespace mimosashunt;

namespace {

/// Parses the addresses of --control; returns false if there is none or one is
/// malformed.
bool parseControlAddresses(std::vector<SocketAddress> &Result) {
  std::stringstream In(FLAGS_control);
  std::string Part;
  while (std::getline(In, Part, ',')) {
    SocketAddress Address;
    if (SocketAddress::parse(Part, Address))
      return false;
    Result.push_back(Address);
  }
  return !Result.empty();
}

/// Reads the operator's key from --key_file or, without that flag, from the
/// environment.
std::string readKey() {
  if (!FLAGS_key_file.empty()) {
    std::ifstream In(FLAGS_key_file);
    std::string Key;
    In >> Key;
    return Key;
  }
  const char *Value = std::getenv("MIMOSASHUNT_KEY");
  return Value == nullptr ? std::string() : std::string(Value);
}

/// Runs the explain subcommand on the named log files, or on standard input if
/// there are none. Does not contact a control VM.
int runExplain(const std::vector<std::string> &Words) {
  if (Words.size() < 2) {
    std::cerr << "mimosashuntctl: explain: no id; expected: explain ID "
                 "[LOG-FILE...]\n";
    return static_cast<int>(CtlStatus::Usage);
  }
  std::vector<std::ifstream> Files;
  std::vector<std::istream *> Inputs;
  Files.reserve(Words.size());
  for (size_t I = 2; I < Words.size(); ++I) {
    Files.emplace_back(Words[I]);
    if (!Files.back()) {
      std::cerr << "mimosashuntctl: " << Words[I]
                << ": cannot be read; expected: a file of log lines\n";
      return static_cast<int>(CtlStatus::Usage);
    }
    Inputs.push_back(&Files.back());
  }
  if (Inputs.empty())
    Inputs.push_back(&std::cin);
  return explain(Words[1], Inputs, std::cout)
             ? static_cast<int>(CtlStatus::Done)
             : static_cast<int>(CtlStatus::NotFound);
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::SetUsageMessage(CtlCommands::help());
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  std::vector<std::string> Words(Arguments + 1, Arguments + Count);
  if (Words.empty() || Words.front() == "help") {
    std::cout << CtlCommands::help();
    return static_cast<int>(Words.empty() ? CtlStatus::Usage : CtlStatus::Done);
  }
  if (Words.front() == "explain")
    return runExplain(Words);
  std::vector<SocketAddress> Control;
  if (!parseControlAddresses(Control)) {
    std::cerr << "mimosashuntctl: --control: missing or malformed; expected: "
                 "IP:PORT[,IP:PORT...]\n";
    return static_cast<int>(CtlStatus::Usage);
  }
  CtlOptions Options;
  Options.AsJson = FLAGS_output == "json";
  Options.DryRun = FLAGS_dry_run;
  Options.Wait = FLAGS_wait;
  Options.OperationId = FLAGS_operation_id;
  Options.IfRevision = FLAGS_if_revision;
  Options.WaitTimeout = milliseconds(FLAGS_patience_ms);
  Tracing Tracer("ctl", FLAGS_trace_file, /*SampleEvery=*/1);
  CtlClient Client(Control, readKey(), Options.WaitTimeout, Tracer);
  CtlCommands Commands(Client, Options, std::cout, std::cerr);
  return static_cast<int>(Commands.run(Words));
}
