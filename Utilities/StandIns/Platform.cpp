#include "StandIns/Platform.h"

#include <sstream>
#include <vector>

namespace mimosashunt {

namespace {

/// A task that has not been heard of for this long is no more.
constexpr Duration TaskLease = seconds(2);
constexpr Duration SettlePeriod = milliseconds(100);
constexpr int NotFound = 404;

std::vector<std::string> segments(const std::string &Path) {
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
  Loop.timers().scheduleEvery(SettlePeriod, [this] {
    for (auto &[Name, Item] : Vms)
      settle(Name);
  });
}

Json Platform::view(const std::string &Name) const {
  const Vm &Item = Vms.at(Name);
  return {{"vm", Name}, {"state", Item.State}, {"boots", Item.Boots}};
}

void Platform::settle(const std::string &Name) {
  Vm &Item = Vms.at(Name);
  Instant Oldest = Loop.timers().now() - TaskLease;
  std::erase_if(Item.Tasks,
                [&](const auto &Task) { return Task.second < Oldest; });
  if (Item.State == "draining" && Item.Tasks.empty())
    Item.State = "drained";
}

Json Platform::order(const std::string &Name, const std::string &Action,
                     const std::string &Body) {
  Vm &Item = Vms[Name];
  if (Action == "tasks") {
    Json Task = Json::parse(Body, nullptr, false);
    if (Task.is_object() && Task.value("running", false))
      Item.Tasks[Task.value("task", std::string())] = Loop.timers().now();
    else if (Task.is_object())
      Item.Tasks.erase(Task.value("task", std::string()));
  } else if (Action == "drain" && Item.State == "up") {
    Item.State = "draining";
  } else if (Action == "reboot" && Item.State == "drained") {
    Item.State = "rebooting";
    Loop.timers().scheduleAt(Loop.timers().now() + RebootTime, [this, Name] {
      Vms[Name].State = "up";
      ++Vms[Name].Boots;
    });
  } else if (Action == "fail") {
    Item.State = "down";
  } else if (Action == "recover" && Item.State == "down") {
    Item.State = "up";
    ++Item.Boots;
  }
  settle(Name);
  return view(Name);
}

void Platform::onRequest(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  SpanPtr Span = Tracer.start("platform.request",
                              headerValue(Request.Headers, TraceParentHeader));
  Span->SetTag("path", Request.Path);
  std::vector<std::string> Path = segments(Request.Path);
  if (Path.size() == 2 && Path[1] == "vms") {
    Json List = Json::array();
    for (const auto &[Name, Item] : Vms)
      List.push_back(view(Name));
    Exchange->respond(jsonResponse(200, Json{{"vms", List}}.dump()));
  } else if (Path.size() == 4 && Path[1] == "vms") {
    Json View = order(Path[2], Path[3], Request.Body);
    Exchange->respond(jsonResponse(200, View.dump()));
  } else {
    Exchange->respond(jsonResponse(NotFound, "{}"));
  }
}

} // namespace mimosashunt
