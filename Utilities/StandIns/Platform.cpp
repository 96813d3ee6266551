#include "StandIns/Platform.h"

#include <sstream>
#include <vector>

namespace mimosashunt {

namespace {

/// A task that has not reported for this long is taken as ended.
constexpr Duration TaskLease = seconds(2);
constexpr Duration UpdateInterval = milliseconds(100);
constexpr int NotFound = 404;

std::vector<std::string> splitPath(const std::string &Path) {
  std::vector<std::string> Result;
  std::stringstream In(Path);
  std::string Part;
  while (std::getline(In, Part, '/'))
    if (!Part.empty())
      Result.push_back(Part);
  return Result;
}

} // namespace

Platform::Platform(Duration RebootTime, const std::string &TraceFile)
    : RebootTime(RebootTime), Tracer("platform", TraceFile, 0),
      Server(Loop, [this](auto Exchange) { onRequest(Exchange); }) {
  Loop.timers().scheduleEvery(UpdateInterval, [this] {
    for (auto &[Name, Machine] : Vms)
      updateState(Name);
  });
}

Json Platform::describeVm(const std::string &Name) const {
  const Vm &Machine = Vms.at(Name);
  return {{"vm", Name}, {"state", Machine.State}, {"boots", Machine.Boots}};
}

void Platform::updateState(const std::string &Name) {
  Vm &Machine = Vms.at(Name);
  Instant OldestValid = Loop.timers().now() - TaskLease;
  std::erase_if(Machine.Tasks,
                [&](const auto &Task) { return Task.second < OldestValid; });
  if (Machine.State == "draining" && Machine.Tasks.empty())
    Machine.State = "drained";
}

Json Platform::applyAction(const std::string &Name, const std::string &Action,
                           const std::string &Body) {
  Vm &Machine = Vms[Name];
  if (Action == "tasks") {
    Json Task = Json::parse(Body, nullptr, false);
    if (Task.is_object() && Task.value("running", false))
      Machine.Tasks[Task.value("task", std::string())] = Loop.timers().now();
    else if (Task.is_object())
      Machine.Tasks.erase(Task.value("task", std::string()));
  } else if (Action == "drain" && Machine.State == "up") {
    Machine.State = "draining";
  } else if (Action == "reboot" && Machine.State == "drained") {
    Machine.State = "rebooting";
    Loop.timers().scheduleAt(Loop.timers().now() + RebootTime, [this, Name] {
      Vms[Name].State = "up";
      ++Vms[Name].Boots;
    });
  } else if (Action == "fail") {
    Machine.State = "down";
  } else if (Action == "recover" && Machine.State == "down") {
    Machine.State = "up";
    ++Machine.Boots;
  }
  updateState(Name);
  return describeVm(Name);
}

void Platform::onRequest(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  SpanPtr Span = Tracer.start("platform.request",
                              headerValue(Request.Headers, TraceParentHeader));
  Span->SetTag("path", Request.Path);
  std::vector<std::string> Path = splitPath(Request.Path);
  if (Path.size() == 2 && Path[1] == "vms") {
    Json List = Json::array();
    for (const auto &[Name, Machine] : Vms)
      List.push_back(describeVm(Name));
    Exchange->respond(jsonResponse(200, Json{{"vms", List}}.dump()));
  } else if (Path.size() == 4 && Path[1] == "vms") {
    Json Description = applyAction(Path[2], Path[3], Request.Body);
    Exchange->respond(jsonResponse(200, Description.dump()));
  } else {
    Exchange->respond(jsonResponse(NotFound, "{}"));
  }
}

} // namespace mimosashunt
