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

HttpResponse problemResponse(int Status, const std::string &Detail,
                             Json Fields = {}) {
  Json Body = Fields.is_object() ? std::move(Fields) : Json::object();
  Body["status"] = Status;
  Body["detail"] = Detail;
  return jsonResponse(Status, toText(Body));
}

HttpResponse unauthorizedResponse() {
  HttpResponse Response =
      problemResponse(Unauthorized, "an operator's key is needed");
  Response.Headers.push_back({"www-authenticate", "Bearer"});
  return Response;
}

std::vector<std::string> splitPath(const std::string &Path) {
  std::vector<std::string> Result;
  std::stringstream In(Path);
  std::string Part;
  while (std::getline(In, Part, '/'))
    if (!Part.empty())
      Result.push_back(Part);
  return Result;
}

/// Parses the body as JSON and checks it against \p Schema. Returns false with
/// the error response in \p Refusal if it does not conform.
bool parseBody(const HttpRequest &Request, const Json &Schema, Json &Body,
               HttpResponse &Refusal) {
  Body = Json::parse(Request.Body, nullptr, /*allow_exceptions=*/false);
  if (Body.is_discarded()) {
    Refusal = problemResponse(BadRequest, "the body is no JSON");
    return false;
  }
  SchemaFault Fault;
  if (conforms(Body, Schema, Fault))
    return true;
  Refusal = problemResponse(BadRequest, Fault.Problem,
                            {{"field", Fault.Key}, {"expected", Fault.Remedy}});
  return false;
}

/// Returns the revision in the If-Match header, or 0 if there is none.
Revision parseIfMatchRevision(const HttpRequest &Request) {
  std::string Text = headerValue(Request.Headers, "if-match");
  std::erase(Text, '"');
  Revision Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

HttpResponse commandResponse(const CommandResult &Result) {
  Json Fields = {{"revision", Result.AtRevision}};
  switch (Result.Status) {
  case CommandStatus::Accepted:
    Fields["accepted"] = true;
    if (!Result.Detail.empty())
      Fields["detail"] = Result.Detail;
    return jsonResponse(Ok, toText(Fields));
  case CommandStatus::Conflict:
    return problemResponse(ConflictStatus, Result.Detail, std::move(Fields));
  case CommandStatus::NotFound:
    return problemResponse(NotFoundStatus, Result.Detail);
  case CommandStatus::Invalid:
    return problemResponse(BadRequest, Result.Detail);
  case CommandStatus::OperationIdReused:
    return problemResponse(Unprocessable, Result.Detail);
  }
  return problemResponse(BadRequest, Result.Detail);
}

} // namespace

std::optional<std::string>
AdminApi::authenticateOperator(const HttpRequest &Request) const {
  std::string Key = bearerKey(headerValue(Request.Headers, "authorization"));
  if (Key.empty())
    return std::nullopt;
  return Core.state().operatorName(sha256Hex(Key));
}

bool AdminApi::mayWatchScreen(const HttpRequest &Request) const {
  return Settings.IsScreenPublic || authenticateOperator(Request).has_value();
}

HttpResponse AdminApi::redirectToLeader(const HttpRequest &Request) const {
  std::string Leader = Core.leaderVm();
  for (const ControlPeer &Peer : Settings.Peers) {
    if (Peer.Vm.Vm != Leader || Leader == Settings.Self.Vm)
      continue;
    std::string Target = "http://" + Peer.Admin.text() + Request.Path;
    if (!Request.Query.empty())
      Target += "?" + Request.Query;
    HttpResponse Response =
        problemResponse(TemporaryRedirect, "another control VM leads");
    Response.Headers.push_back({"location", Target});
    return Response;
  }
  HttpResponse Response = problemResponse(Unavailable, "no leader is known");
  Response.Headers.push_back({"retry-after", "1"});
  return Response;
}

HttpResponse AdminApi::bootstrap(const HttpRequest &Request) {
  Json Body;
  HttpResponse Refusal;
  if (!parseBody(Request, operatorSchema(), Body, Refusal))
    return Refusal;
  AddOperator FirstOperator{Body.at("operator").get<std::string>(),
                            Body.at("digest").get<std::string>()};
  if (!Core.bootstrap(FirstOperator))
    return problemResponse(ConflictStatus,
                           "this disk belongs to a group already");
  return jsonResponse(Ok, toText({{"founded", true}}));
}

void AdminApi::handle(const HttpRequest &Request,
                      const ResponseCallback &Respond) {
  if (Request.Method == "POST" && Request.Path == "/v1/bootstrap")
    return Respond(bootstrap(Request));
  if (!Core.isLeader())
    return Respond(redirectToLeader(Request));
  std::optional<std::string> Operator = authenticateOperator(Request);
  if (!Operator)
    return Respond(unauthorizedResponse());
  HttpResponse Response;
  if (Request.Method == "GET") {
    if (!handleRead(Request, Response))
      Response = problemResponse(NotFoundStatus, "no such path");
    return Respond(Response);
  }
  FleetCommand Command;
  Command.OperationId = headerValue(Request.Headers, "idempotency-key");
  Command.Operator = *Operator;
  if (Command.OperationId.empty())
    return Respond(
        problemResponse(BadRequest, "a change needs an Idempotency-Key"));
  if (!parseChange(Request, Command.Action, Response))
    return Respond(Response);
  if (Request.Query == "dryRun=true")
    return Respond(jsonResponse(Ok, toText({{"valid", true}})));
  Core.submit(Command, [Respond](const SubmitResult &Result) {
    if (const auto *Completed = std::get_if<CommandResult>(&Result))
      Respond(commandResponse(*Completed));
    else
      Respond(problemResponse(
          GatewayTimeout,
          "the change may have been accepted; send it again under "
          "the same Idempotency-Key"));
  });
}

bool AdminApi::buildView(const std::string &ViewName, Json &Body) const {
  if (ViewName == "fleet")
    Body = fleetView(Core, Timers.now());
  else if (ViewName == "in-force")
    Body = inForceView(Core, Timers.now());
  else if (ViewName == "documents")
    Body = documentsView(Core.state());
  else if (ViewName == "keys")
    Body = keysView(Core.state());
  else if (ViewName == "waves")
    Body = wavesView(Core);
  else
    return false;
  return true;
}

bool AdminApi::handleRead(const HttpRequest &Request,
                          HttpResponse &Response) const {
  std::vector<std::string> Path = splitPath(Request.Path);
  if (Path.size() < 2 || Path[0] != "v1")
    return false;
  const std::string &ViewName = Path[1];
  Json Body;
  if (Path.size() == 3) {
    auto Document = Core.state().documents().find(Path[2]);
    if (ViewName != "documents" || Document == Core.state().documents().end())
      return false;
    Body = Document->second;
  } else if (Path.size() != 2 || !buildView(ViewName, Body)) {
    return false;
  }
  Response = jsonResponse(Ok, toText(Body));
  return true;
}

bool AdminApi::parseRemoval(const HttpRequest &Request, FleetAction &Action,
                            HttpResponse &Refusal) const {
  std::vector<std::string> Path = splitPath(Request.Path);
  Refusal = problemResponse(NotFoundStatus, "no such path");
  if (Path.size() != 3)
    return false;
  if (Path[1] == "documents") {
    Action = RemoveDocument{Path[2], parseIfMatchRevision(Request)};
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
  // A key is identified by its digest or by a prefix of at least the number of
  // digits that the keys view shows.
  WithdrawKey Withdraw{Path[2]};
  for (const auto &[Digest, Record] : Core.state().keys())
    if (Digest.rfind(Path[2], 0) == 0)
      Withdraw.Digest = Digest;
  Action = Withdraw;
  return true;
}

bool AdminApi::parseChange(const HttpRequest &Request, FleetAction &Action,
                           HttpResponse &Refusal) const {
  if (Request.Method == "DELETE")
    return parseRemoval(Request, Action, Refusal);
  std::vector<std::string> Path = splitPath(Request.Path);
  Refusal = problemResponse(NotFoundStatus, "no such path");
  if (Path.size() < 2 || Path[0] != "v1")
    return false;
  bool IsPut = Request.Method == "PUT";
  if (!IsPut && Request.Method != "POST") {
    Refusal = problemResponse(MethodNotAllowed, "use GET, PUT, POST or DELETE");
    return false;
  }
  Json Body;
  if (IsPut && Path.size() == 3 && Path[1] == "documents") {
    if (!parseBody(Request, documentSchema(), Body, Refusal))
      return false;
    Action = ApplyDocument{readDocument(Body), parseIfMatchRevision(Request)};
    if (std::get<ApplyDocument>(Action).Document.Team == Path[2])
      return true;
    Refusal = problemResponse(BadRequest, "the path names another team",
                              {{"field", "team"}});
    return false;
  }
  if (!IsPut && Path.size() == 4 && Path[1] == "vms" && Path[3] == "move") {
    if (!parseBody(Request, moveSchema(), Body, Refusal))
      return false;
    Action = MoveVm{Path[2], Body.at("from").get<std::string>(),
                    Body.at("to").get<std::string>()};
    return true;
  }
  if (IsPut || Path.size() != 2)
    return false;
  if (Path[1] == "keys" && parseBody(Request, keySchema(), Body, Refusal)) {
    Action = GrantKey{Body.at("team").get<std::string>(),
                      Body.at("digest").get<std::string>()};
    return true;
  }
  if (Path[1] == "operators" &&
      parseBody(Request, operatorSchema(), Body, Refusal)) {
    Action = AddOperator{Body.at("operator").get<std::string>(),
                         Body.at("digest").get<std::string>()};
    return true;
  }
  if (Path[1] == "pools" && parseBody(Request, poolSchema(), Body, Refusal)) {
    Action = CreatePool{Body.at("pool").get<std::string>(),
                        Body.value("spare", false)};
    return true;
  }
  if (Path[1] == "vms" && parseBody(Request, vmSchema(), Body, Refusal)) {
    Action = AddVm{Body.at("vm").get<std::string>(),
                   Body.at("pool").get<std::string>(),
                   Body.at("dataCentre").get<std::string>(),
                   Body.at("rack").get<std::string>()};
    return true;
  }
  if (Path[1] == "waves" && parseBody(Request, waveSchema(), Body, Refusal)) {
    Action = AnnounceWave{Body.at("wave").get<std::string>(),
                          Body.at("vms").get<std::vector<std::string>>()};
    return true;
  }
  return false;
}

} // namespace mimosashunt
