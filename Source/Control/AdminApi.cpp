#include "Control/AdminApi.h"

#include "Control/DocumentSchema.h"
#include "Control/FleetView.h"
#include "Daemon/Secrets.h"
#include "Daemon/Settings.h"

#include <charconv>
#include <sstream>
#include <utility>

namespace mimosashunt {

namespace {

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int NotFoundStatus = 404;
constexpr int MethodNotAllowed = 405;
constexpr int ConflictStatus = 409;
constexpr int Unprocessable = 422;
constexpr int TemporaryRedirect = 307;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;
constexpr size_t MinKeyIdDigits = 12;

HttpResponse problem(int Status, const std::string &Detail, Json More = {}) {
  Json Body = More.is_object() ? std::move(More) : Json::object();
  Body["status"] = Status;
  Body["detail"] = Detail;
  return jsonResponse(Status, Body.dump());
}

HttpResponse unauthorized() {
  HttpResponse Response = problem(Unauthorized, "an operator's key is needed");
  Response.Headers.push_back({"www-authenticate", "Bearer"});
  return Response;
}

std::vector<std::string> segments(const std::string &Path) {
  std::vector<std::string> Result;
  std::stringstream In(Path);
  std::string Part;
  while (std::getline(In, Part, '/'))
    if (!Part.empty())
      Result.push_back(Part);
  return Result;
}

/// Reads the body against a schema. Returns false with the refusal.
bool readBody(const HttpRequest &Request, const Json &Schema, Json &Body,
              HttpResponse &Refused) {
  Body = Json::parse(Request.Body, nullptr, /*allow_exceptions=*/false);
  if (Body.is_discarded()) {
    Refused = problem(BadRequest, "the body is no JSON");
    return false;
  }
  SchemaFault Fault;
  if (conforms(Body, Schema, Fault))
    return true;
  Refused = problem(BadRequest, Fault.Problem,
                    {{"field", Fault.Key}, {"expected", Fault.Remedy}});
  return false;
}

Revision revisionOf(const HttpRequest &Request) {
  std::string Text = headerValue(Request.Headers, "if-match");
  std::erase(Text, '"');
  Revision Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

HttpResponse resultResponse(const CommandResult &Result) {
  Json More = {{"revision", Result.AtRevision}};
  switch (Result.Status) {
  case CommandStatus::Accepted:
    More["accepted"] = true;
    if (!Result.Detail.empty())
      More["detail"] = Result.Detail;
    return jsonResponse(Ok, More.dump());
  case CommandStatus::Conflict:
    return problem(ConflictStatus, Result.Detail, std::move(More));
  case CommandStatus::NotFound:
    return problem(NotFoundStatus, Result.Detail);
  case CommandStatus::Invalid:
    return problem(BadRequest, Result.Detail);
  case CommandStatus::OperationIdReused:
    return problem(Unprocessable, Result.Detail);
  }
  return problem(BadRequest, Result.Detail);
}

} // namespace

std::optional<std::string>
AdminApi::operatorOf(const HttpRequest &Request) const {
  std::string Key = bearerKey(headerValue(Request.Headers, "authorization"));
  if (Key.empty())
    return std::nullopt;
  return Core.state().operatorName(sha256Hex(Key));
}

bool AdminApi::mayWatch(const HttpRequest &Request) const {
  return Settings.OpenScreen || operatorOf(Request).has_value();
}

HttpResponse AdminApi::redirect(const HttpRequest &Request) const {
  std::string Leader = Core.leaderVm();
  for (const ControlPeer &Peer : Settings.Peers) {
    if (Peer.Vm.Vm != Leader || Leader == Settings.Self.Vm)
      continue;
    std::string Target = "http://" + Peer.Admin.text() + Request.Path;
    if (!Request.Query.empty())
      Target += "?" + Request.Query;
    HttpResponse Response =
        problem(TemporaryRedirect, "another control VM leads");
    Response.Headers.push_back({"location", Target});
    return Response;
  }
  HttpResponse Response = problem(Unavailable, "no leader is known");
  Response.Headers.push_back({"retry-after", "1"});
  return Response;
}

HttpResponse AdminApi::bootstrap(const HttpRequest &Request) {
  Json Body;
  HttpResponse Refused;
  if (!readBody(Request, operatorSchema(), Body, Refused))
    return Refused;
  AddOperator First{Body.at("operator").get<std::string>(),
                    Body.at("digest").get<std::string>()};
  if (!Core.bootstrap(First))
    return problem(ConflictStatus, "this disk belongs to a group already");
  return jsonResponse(Ok, Json{{"founded", true}}.dump());
}

void AdminApi::handle(const HttpRequest &Request, const Reply &Done) {
  if (Request.Method == "POST" && Request.Path == "/v1/bootstrap")
    return Done(bootstrap(Request));
  if (!Core.isLeader())
    return Done(redirect(Request));
  std::optional<std::string> Operator = operatorOf(Request);
  if (!Operator)
    return Done(unauthorized());
  HttpResponse Response;
  if (Request.Method == "GET") {
    if (!read(Request, Response))
      Response = problem(NotFoundStatus, "no such path");
    return Done(Response);
  }
  FleetCommand Command;
  Command.OperationId = headerValue(Request.Headers, "idempotency-key");
  Command.Operator = *Operator;
  if (Command.OperationId.empty())
    return Done(problem(BadRequest, "a change needs an Idempotency-Key"));
  if (!parseChange(Request, Command.Action, Response))
    return Done(Response);
  if (Request.Query == "dryRun=true")
    return Done(jsonResponse(Ok, Json{{"valid", true}}.dump()));
  Core.submit(Command, [Done](const SubmitResult &Result) {
    if (const auto *Made = std::get_if<CommandResult>(&Result))
      Done(resultResponse(*Made));
    else
      Done(problem(GatewayTimeout,
                   "the change may have been accepted; send it again under "
                   "the same Idempotency-Key"));
  });
}

bool AdminApi::view(const std::string &What, Json &Body) const {
  if (What == "fleet")
    Body = fleetView(Core, Timers.now());
  else if (What == "in-force")
    Body = inForceView(Core, Timers.now());
  else if (What == "documents")
    Body = documentsView(Core.state());
  else if (What == "keys")
    Body = keysView(Core.state());
  else if (What == "waves")
    Body = wavesView(Core);
  else
    return false;
  return true;
}

bool AdminApi::read(const HttpRequest &Request, HttpResponse &Response) const {
  std::vector<std::string> Path = segments(Request.Path);
  if (Path.size() < 2 || Path[0] != "v1")
    return false;
  const std::string &What = Path[1];
  Json Body;
  if (Path.size() == 3) {
    auto Found = Core.state().documents().find(Path[2]);
    if (What != "documents" || Found == Core.state().documents().end())
      return false;
    Body = Found->second;
  } else if (Path.size() != 2 || !view(What, Body)) {
    return false;
  }
  Response = jsonResponse(Ok, Body.dump());
  return true;
}

bool AdminApi::parseDelete(const HttpRequest &Request, FleetAction &Action,
                           HttpResponse &Refused) const {
  std::vector<std::string> Path = segments(Request.Path);
  Refused = problem(NotFoundStatus, "no such path");
  if (Path.size() != 3)
    return false;
  if (Path[1] == "documents") {
    Action = RemoveDocument{Path[2], revisionOf(Request)};
    return true;
  }
  if (Path[1] == "waves") {
    Action = CancelWave{Path[2]};
    return true;
  }
  if (Path[1] == "operators") {
    Action = RemoveOperator{Path[2]};
    return true;
  }
  if (Path[1] != "keys" || Path[2].size() < MinKeyIdDigits)
    return false;
  // A key is named by its digest or by the first digits that are shown.
  WithdrawKey Withdraw{Path[2]};
  for (const auto &[Digest, Record] : Core.state().keys())
    if (Digest.rfind(Path[2], 0) == 0)
      Withdraw.Digest = Digest;
  Action = Withdraw;
  return true;
}

bool AdminApi::parseChange(const HttpRequest &Request, FleetAction &Action,
                           HttpResponse &Refused) const {
  if (Request.Method == "DELETE")
    return parseDelete(Request, Action, Refused);
  std::vector<std::string> Path = segments(Request.Path);
  Refused = problem(NotFoundStatus, "no such path");
  if (Path.size() < 2 || Path[0] != "v1")
    return false;
  bool IsPut = Request.Method == "PUT";
  if (!IsPut && Request.Method != "POST") {
    Refused = problem(MethodNotAllowed, "use GET, PUT, POST or DELETE");
    return false;
  }
  Json Body;
  if (IsPut && Path.size() == 3 && Path[1] == "documents") {
    if (!readBody(Request, documentSchema(), Body, Refused))
      return false;
    Action = ApplyDocument{readDocument(Body), revisionOf(Request)};
    if (std::get<ApplyDocument>(Action).Document.Team == Path[2])
      return true;
    Refused =
        problem(BadRequest, "the path names another team", {{"field", "team"}});
    return false;
  }
  if (!IsPut && Path.size() == 4 && Path[1] == "vms" && Path[3] == "move") {
    if (!readBody(Request, moveSchema(), Body, Refused))
      return false;
    Action = MoveVm{Path[2], Body.at("from").get<std::string>(),
                    Body.at("to").get<std::string>()};
    return true;
  }
  if (IsPut || Path.size() != 2)
    return false;
  if (Path[1] == "keys" && readBody(Request, keySchema(), Body, Refused)) {
    Action = GrantKey{Body.at("team").get<std::string>(),
                      Body.at("digest").get<std::string>()};
    return true;
  }
  if (Path[1] == "operators" &&
      readBody(Request, operatorSchema(), Body, Refused)) {
    Action = AddOperator{Body.at("operator").get<std::string>(),
                         Body.at("digest").get<std::string>()};
    return true;
  }
  if (Path[1] == "pools" && readBody(Request, poolSchema(), Body, Refused)) {
    Action = CreatePool{Body.at("pool").get<std::string>(),
                        Body.value("spare", false)};
    return true;
  }
  if (Path[1] == "vms" && readBody(Request, vmSchema(), Body, Refused)) {
    Action = AddVm{Body.at("vm").get<std::string>(),
                   Body.at("pool").get<std::string>(),
                   Body.at("dataCentre").get<std::string>(),
                   Body.at("rack").get<std::string>()};
    return true;
  }
  if (Path[1] == "waves" && readBody(Request, waveSchema(), Body, Refused)) {
    Action = AnnounceWave{Body.at("wave").get<std::string>(),
                          Body.at("vms").get<std::vector<std::string>>()};
    return true;
  }
  return false;
}

} // namespace mimosashunt
