#include "Control/PlatformClient.h"

#include "Core/JsonFields.h"

#include <exception>
#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration PollPeriod = milliseconds(300);
constexpr Duration CallTimeout = seconds(1);

VmState stateOf(const std::string &Name) {
  if (Name == "up")
    return VmState::Up;
  if (Name == "draining")
    return VmState::Draining;
  if (Name == "drained")
    return VmState::Drained;
  if (Name == "rebooting")
    return VmState::Rebooting;
  return VmState::Down;
}

} // namespace

std::optional<std::map<std::string, VmStatus>>
parsePlatformReport(const std::string &Body) {
  try {
    std::map<std::string, VmStatus> Result;
    const Json Report = Json::parse(Body);
    for (const Json &Item : Report.at("vms"))
      Result[Item.at("vm").get<std::string>()] = {
          stateOf(Item.at("state").get<std::string>()),
          Item.at("boots").get<uint64_t>()};
    return Result;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

PlatformClient::PlatformClient(EventLoop &Loop,
                               std::optional<SocketAddress> Address,
                               const Tracing &Tracer, Report Take)
    : Loop(Loop), Client(Loop), Address(std::move(Address)), Tracer(Tracer),
      Take(std::move(Take)) {
  if (this->Address)
    Loop.timers().scheduleEvery(PollPeriod, [this] { poll(); });
}

void PlatformClient::poll() {
  if (Polling)
    return;
  Polling = true;
  std::shared_ptr<opentracing::Span> Span =
      Tracer.startRoutine("control.readPlatform");
  HttpRequest Request{"GET", "/v1/vms", {}, {}, {}};
  Request.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
  auto Taken = [this, Span](const HttpResult &Result) {
    Polling = false;
    Span->Finish();
    const auto *Response = std::get_if<HttpResponse>(&Result);
    if (Response == nullptr)
      return;
    if (auto Vms = parsePlatformReport(Response->Body))
      Take(std::move(*Vms));
  };
  Client.send(*Address, Request, CallTimeout, Taken);
}

void PlatformClient::order(const std::string &Vm, const std::string &Action) {
  if (!Address)
    return;
  Loop.post([this, Vm, Action] {
    std::shared_ptr<opentracing::Span> Span =
        Tracer.start("control.orderPlatform", {});
    Span->SetTag("vm", Vm);
    Span->SetTag("action", Action);
    HttpRequest Request{"POST", "/v1/vms/" + Vm + "/" + Action, {}, {}, {}};
    Request.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
    Client.send(*Address, Request, CallTimeout,
                [Span](const HttpResult &) { Span->Finish(); });
  });
}

void PlatformClient::drainVm(const std::string &Vm) { order(Vm, "drain"); }
void PlatformClient::rebootVm(const std::string &Vm) { order(Vm, "reboot"); }

} // namespace mimosashunt
