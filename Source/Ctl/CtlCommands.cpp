#include "Ctl/CtlCommands.h"

#include "Daemon/Secrets.h"
#include "Links/SystemTime.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace mimosashunt {

namespace {

constexpr size_t KeyBytes = 32;
constexpr size_t OperationIdBytes = 16;
constexpr size_t KeyIdDigits = 12;
constexpr Duration PollInterval = milliseconds(200);
constexpr int Ok = 200;
constexpr int Unauthorized = 401;
constexpr int Forbidden = 403;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int BadRequest = 400;
constexpr int Unprocessable = 422;

/// Fills in the defaults of optional keys, so that leaving one out does not
/// show up as a difference.
Json withDefaults(Json Document) {
  if (!Document.contains("services"))
    Document["services"] = Json::array();
  for (Json &Service : Document["services"])
    for (Json &Queue : Service["queues"]) {
      Queue.emplace("open", false);
      Queue.emplace("urgent", false);
      Queue.emplace("deadlineMillis", 10000);
    }
  return Document;
}

} // namespace

std::vector<std::string> describeDifference(const Json &Old, const Json &New) {
  std::vector<std::string> Result;
  for (const Json &Step : Json::diff(Old, New)) {
    Json::json_pointer Pointer(Step.at("path").get<std::string>());
    std::string Line = Pointer.to_string() + ": ";
    Line += Old.contains(Pointer) ? Old.at(Pointer).dump() : "(none)";
    Line += " -> ";
    Line += Step.contains("value") ? Step.at("value").dump() : "(none)";
    Result.push_back(Line);
  }
  return Result;
}

std::string CtlCommands::help() {
  return R"(mimosashuntctl --control=IP:PORT[,IP:PORT...] [flags] COMMAND

  bootstrap OPERATOR            found a group on the first control VM and print
                                the first operator's key
  explain ID [LOG-FILE...]      history of a job, worker or VM by its logs, from
                                files or standard input; needs no control VM
  apply FILE                    create or change a team's document
  show documents|document TEAM|keys|waves|fleet|in-force
  remove document TEAM
  key grant TEAM                print a new key, once
  key withdraw ID               ID as in "show keys"
  operator add NAME             print a new operator's key, once
  operator remove NAME
  pool make NAME [spare]
  vm add VM POOL DATACENTRE RACK
  vm move VM FROM TO
  wave announce NAME VM...      --wait shows progress until it has ended
  wave cancel NAME
  wave show NAME
  watch [SECONDS]               follow the fleet

Flags: --key_file=FILE holds the operator's key (or MIMOSASHUNT_KEY);
--output=json; --dry_run; --wait; --operation_id=ID repeats an earlier change,
with --if_revision=N as that change's message said.

Example:
  mimosashuntctl --control=127.0.0.1:7201 --key_file=op.key apply lessons.json

Exit status: 0 done, 1 failed, 2 usage, 3 conflict, 4 not found, 5 refused,
6 no control VM answered, 7 invalid.
)";
}

CtlStatus CtlCommands::run(const std::vector<std::string> &Words) {
  if (Words.empty())
    return reportUsageError("a command is missing");
  const std::string &First = Words.front();
  if (First == "bootstrap")
    return bootstrap(Words);
  if (First == "apply")
    return apply(Words);
  if (First == "show")
    return show(Words);
  if (First == "remove")
    return remove(Words);
  if (First == "key")
    return keyCommand(Words);
  if (First == "operator")
    return operatorCommand(Words);
  if (First == "pool")
    return poolCommand(Words);
  if (First == "vm")
    return vmCommand(Words);
  if (First == "wave")
    return waveCommand(Words);
  if (First == "watch")
    return watch(Words);
  return reportUsageError("no such command: " + First);
}

CtlStatus CtlCommands::reportUsageError(const std::string &Problem) {
  Err << "mimosashuntctl: " << Problem << "; see mimosashuntctl help\n";
  return CtlStatus::Usage;
}

CtlStatus CtlCommands::reportFailure(const CtlReply &Reply) {
  std::string Detail = "no control VM answered";
  if (Reply.Status != 0 && Reply.Body.is_object())
    Detail = Reply.Body.value("detail", std::string("refused"));
  if (Options.AsJson)
    Out << (Reply.Body.is_object() ? Reply.Body.dump()
                                   : Json{{"detail", Detail}}.dump())
        << '\n';
  Err << "mimosashuntctl: " << Detail;
  if (Reply.Body.is_object() && Reply.Body.contains("field"))
    Err << "; field '" << Reply.Body.value("field", std::string())
        << "'; expected: " << Reply.Body.value("expected", std::string());
  if (Reply.Status == Conflict && Reply.Body.contains("revision"))
    Err << "; present revision " << Reply.Body.at("revision");
  Err << '\n';
  switch (Reply.Status) {
  case 0:
    return CtlStatus::Unreachable;
  case Unauthorized:
  case Forbidden:
    return CtlStatus::Refused;
  case NotFound:
    return CtlStatus::NotFound;
  case Conflict:
    return CtlStatus::Conflict;
  case BadRequest:
  case Unprocessable:
    return CtlStatus::Invalid;
  default:
    return CtlStatus::Failed;
  }
}

CtlStatus CtlCommands::reportResult(const CtlReply &Reply,
                                    const std::string &Done) {
  if (Reply.Status != Ok)
    return reportFailure(Reply);
  if (Options.AsJson)
    Out << Reply.Body.dump() << '\n';
  else
    Out << Done << '\n';
  if (Options.Wait && Reply.Body.contains("revision"))
    return waitUntilInForce(Reply.Body.at("revision").get<uint64_t>());
  return CtlStatus::Done;
}

CtlStatus CtlCommands::sendChange(const std::string &Method,
                                  const std::string &Path, const Json &Body,
                                  const std::string &ExpectedRevision,
                                  const std::string &Done) {
  std::string Id = Options.OperationId.empty() ? randomHex(OperationIdBytes)
                                               : Options.OperationId;
  std::string Target = Options.DryRun ? Path + "?dryRun=true" : Path;
  std::string Text = Body.is_null() ? std::string() : Body.dump();
  CtlReply Reply =
      Client.sendChange(Method, Target, Text, Id, ExpectedRevision);
  if (Reply.Status == 0 || Reply.Status >= 500)
    Err << "mimosashuntctl: the change may have been accepted; repeat it with "
           "--operation_id="
        << Id
        << (ExpectedRevision.empty() ? ""
                                     : " --if_revision=" + ExpectedRevision)
        << '\n';
  return reportResult(Reply,
                      Options.DryRun ? "valid; nothing was changed" : Done);
}

CtlStatus CtlCommands::waitUntilInForce(uint64_t Revision) {
  Instant Deadline = bootNow() + Options.WaitTimeout;
  while (bootNow() < Deadline) {
    CtlReply Reply = Client.get("/v1/in-force");
    if (Reply.Status != Ok)
      return reportFailure(Reply);
    bool InForceEverywhere = true;
    for (const Json &Entry : Reply.Body.at("entries")) {
      bool IsBehind = Entry.at("revision").is_null() ||
                      Entry.at("revision").get<uint64_t>() < Revision;
      if (Entry.at("reachable").get<bool>() && IsBehind)
        InForceEverywhere = false;
    }
    // A change that is not part of the configuration of entry VMs leaves the
    // configuration revision below its own, so there is nothing to wait for.
    if (Reply.Body.at("revision").get<uint64_t>() < Revision ||
        InForceEverywhere) {
      if (!Options.AsJson)
        Out << "in force on every reachable entry VM\n";
      return CtlStatus::Done;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  Err << "mimosashuntctl: not in force everywhere yet; see show in-force\n";
  return CtlStatus::Failed;
}

CtlStatus CtlCommands::bootstrap(const std::vector<std::string> &Words) {
  if (Words.size() != 2)
    return reportUsageError("bootstrap needs the first operator's name");
  std::string Key = randomHex(KeyBytes);
  Json Body = {{"operator", Words[1]}, {"digest", sha256Hex(Key)}};
  CtlReply Reply = Client.bootstrap(Body.dump());
  if (Reply.Status != Ok)
    return reportFailure(Reply);
  Out << Key << '\n';
  return CtlStatus::Done;
}

CtlStatus CtlCommands::apply(const std::vector<std::string> &Words) {
  if (Words.size() != 2)
    return reportUsageError("apply needs a file");
  std::ifstream In(Words[1]);
  std::stringstream Text;
  Text << In.rdbuf();
  Json New = Json::parse(Text.str(), nullptr, false);
  if (!In || !New.is_object() || !New.contains("team") ||
      !New.at("team").is_string()) {
    Err << "mimosashuntctl: " << Words[1]
        << ": key 'team': missing; expected: a JSON document of a team\n";
    return CtlStatus::Invalid;
  }
  std::string Path = "/v1/documents/" + New.at("team").get<std::string>();
  CtlReply Current = Client.get(Path);
  if (Current.Status != Ok && Current.Status != NotFound)
    return reportFailure(Current);
  Json Old = Json::object();
  std::string ExpectedRevision = "0";
  if (Current.Status == Ok) {
    Old = Current.Body.at("document");
    ExpectedRevision = Current.Body.at("revision").dump();
  }
  std::vector<std::string> Lines = describeDifference(Old, withDefaults(New));
  if (!Options.AsJson)
    for (const std::string &Line : Lines)
      Out << "  " << Line << '\n';
  bool IsRepeat = !Options.OperationId.empty();
  if (!Options.IfRevision.empty())
    ExpectedRevision = Options.IfRevision;
  if (Lines.empty() && !IsRepeat) {
    Out << (Options.AsJson ? "{\"unchanged\":true}" : "unchanged") << '\n';
    return CtlStatus::Done;
  }
  return sendChange("PUT", Path, New, ExpectedRevision, "applied");
}

CtlStatus CtlCommands::printResource(const std::string &Path) {
  CtlReply Reply = Client.get(Path);
  if (Reply.Status != Ok)
    return reportFailure(Reply);
  Out << (Options.AsJson ? Reply.Body.dump() : Reply.Body.dump(2)) << '\n';
  return CtlStatus::Done;
}

CtlStatus CtlCommands::show(const std::vector<std::string> &Words) {
  if (Words.size() == 3 && Words[1] == "document")
    return printResource("/v1/documents/" + Words[2]);
  if (Words.size() != 2)
    return reportUsageError("show needs one thing to show");
  return printResource("/v1/" + Words[1]);
}

CtlStatus CtlCommands::remove(const std::vector<std::string> &Words) {
  if (Words.size() != 3 || Words[1] != "document")
    return reportUsageError("remove needs: document TEAM");
  std::string Path = "/v1/documents/" + Words[2];
  CtlReply Current = Client.get(Path);
  if (Current.Status != Ok)
    return reportFailure(Current);
  std::string ExpectedRevision = Options.IfRevision;
  if (ExpectedRevision.empty())
    ExpectedRevision = Current.Body.at("revision").dump();
  return sendChange("DELETE", Path, {}, ExpectedRevision, "removed");
}

CtlStatus CtlCommands::keyCommand(const std::vector<std::string> &Words) {
  if (Words.size() != 3)
    return reportUsageError("key needs: grant TEAM, or withdraw ID");
  if (Words[1] == "withdraw")
    return sendChange("DELETE", "/v1/keys/" + Words[2], {}, {}, "withdrawn");
  if (Words[1] != "grant")
    return reportUsageError("no such command: key " + Words[1]);
  // The key is generated here and only its digest is sent, so that the control
  // VMs never hold the key itself.
  std::string Key = randomHex(KeyBytes);
  Json Body = {{"team", Words[2]}, {"digest", sha256Hex(Key)}};
  CtlStatus Status = sendChange("POST", "/v1/keys", Body, {}, Key);
  if (Status == CtlStatus::Done && Options.AsJson)
    Out << Json{{"key", Key}}.dump() << '\n';
  if (Status == CtlStatus::Done)
    Err << "id " << sha256Hex(Key).substr(0, KeyIdDigits)
        << "; the key is not shown again\n";
  return Status;
}

CtlStatus CtlCommands::operatorCommand(const std::vector<std::string> &Words) {
  if (Words.size() != 3)
    return reportUsageError("operator needs: add NAME, or remove NAME");
  if (Words[1] == "remove")
    return sendChange("DELETE", "/v1/operators/" + Words[2], {}, {}, "removed");
  if (Words[1] != "add")
    return reportUsageError("no such command: operator " + Words[1]);
  std::string Key = randomHex(KeyBytes);
  Json Body = {{"operator", Words[2]}, {"digest", sha256Hex(Key)}};
  return sendChange("POST", "/v1/operators", Body, {}, Key);
}

CtlStatus CtlCommands::poolCommand(const std::vector<std::string> &Words) {
  bool Spare = Words.size() == 4 && Words[3] == "spare";
  if ((Words.size() != 3 && !Spare) || Words[1] != "make")
    return reportUsageError("pool needs: make NAME [spare]");
  return sendChange("POST", "/v1/pools", {{"pool", Words[2]}, {"spare", Spare}},
                    {}, "made");
}

CtlStatus CtlCommands::vmCommand(const std::vector<std::string> &Words) {
  if (Words.size() == 6 && Words[1] == "add")
    return sendChange("POST", "/v1/vms",
                      {{"vm", Words[2]},
                       {"pool", Words[3]},
                       {"dataCentre", Words[4]},
                       {"rack", Words[5]}},
                      {}, "added");
  if (Words.size() == 5 && Words[1] == "move")
    return sendChange("POST", "/v1/vms/" + Words[2] + "/move",
                      {{"from", Words[3]}, {"to", Words[4]}}, {}, "moved");
  return reportUsageError(
      "vm needs: add VM POOL DATACENTRE RACK, or move VM FROM TO");
}

CtlStatus CtlCommands::waveCommand(const std::vector<std::string> &Words) {
  if (Words.size() < 3)
    return reportUsageError(
        "wave needs: announce NAME VM..., cancel NAME or show NAME");
  if (Words[1] == "cancel")
    return sendChange("DELETE", "/v1/waves/" + Words[2], {}, {}, "cancelled");
  if (Words[1] == "show")
    return showWaveProgress(Words[2]);
  if (Words[1] != "announce")
    return reportUsageError("no such command: wave " + Words[1]);
  std::vector<std::string> Vms(Words.begin() + 3, Words.end());
  CtlStatus Status = sendChange(
      "POST", "/v1/waves", {{"wave", Words[2]}, {"vms", Vms}}, {}, "announced");
  if (Status != CtlStatus::Done || !Options.Wait || Options.DryRun)
    return Status;
  return showWaveProgress(Words[2]);
}

CtlStatus CtlCommands::showWaveProgress(const std::string &Name) {
  Instant Deadline = bootNow() + Options.WaitTimeout;
  std::string LastPrinted;
  while (true) {
    CtlReply Reply = Client.get("/v1/waves");
    if (Reply.Status != Ok)
      return reportFailure(Reply);
    const Json *Wave = nullptr;
    for (const Json &Candidate : Reply.Body)
      if (Candidate.at("wave") == Name)
        Wave = &Candidate;
    if (Wave == nullptr) {
      Err << "mimosashuntctl: no such wave: " << Name << '\n';
      return CtlStatus::NotFound;
    }
    std::stringstream Line;
    Line << Name << ": " << Wave->at("done").size() << " done, "
         << Wave->at("draining").size() << " draining, "
         << Wave->at("waiting").size() << " waiting";
    for (const Json &Obstacle : Wave->at("obstacles"))
      Line << "; " << Obstacle.at("vm").get<std::string>() << ": "
           << Obstacle.at("reason").get<std::string>();
    if (Line.str() != LastPrinted) {
      LastPrinted = Line.str();
      Out << (Options.AsJson ? Wave->dump() : LastPrinted) << std::endl;
    }
    if (Wave->at("ended").get<bool>())
      return CtlStatus::Done;
    if (!Options.Wait)
      return CtlStatus::Done;
    if (bootNow() > Deadline) {
      Err << "mimosashuntctl: the wave goes on; see wave show " << Name << '\n';
      return CtlStatus::Failed;
    }
    std::this_thread::sleep_for(PollInterval);
  }
}

CtlStatus CtlCommands::watch(const std::vector<std::string> &Words) {
  constexpr int DefaultSeconds = 3600;
  int Seconds = Words.size() > 1 ? std::atoi(Words[1].c_str()) : DefaultSeconds;
  Instant Deadline = bootNow() + seconds(Seconds);
  while (bootNow() < Deadline) {
    CtlReply Reply = Client.get("/v1/fleet");
    if (Reply.Status != Ok)
      return reportFailure(Reply);
    if (Options.AsJson) {
      Out << Reply.Body.dump() << std::endl;
    } else {
      Out << "revision " << Reply.Body.at("revision") << ", leader "
          << Reply.Body.at("leader").get<std::string>();
      for (const Json &Entry : Reply.Body.at("entries"))
        Out << "; " << Entry.at("vm").get<std::string>() << " at "
            << Entry.at("revision");
      for (const Json &Service : Reply.Body.at("services"))
        Out << "; " << Service.at("service").get<std::string>() << " "
            << Service.at("live") << " of " << Service.at("instances");
      Out << std::endl;
    }
    std::this_thread::sleep_for(seconds(1));
  }
  return CtlStatus::Done;
}

} // namespace mimosashunt
