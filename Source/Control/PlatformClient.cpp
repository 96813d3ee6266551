#include "Control/PlatformClient.h"

#include "Core/JsonFields.h"

#include <exception>
#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration PollInterval = milliseconds(300);
constexpr Duration RequestTimeout = seconds(1);

VmState parseVmState(const std::string &Name) {
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
    const Json ReportJson = Json::parse(Body);
    for (const Json &VmJson : ReportJson.at("vms"))
      Result[VmJson.at("vm").get<std::string>()] = {
          parseVmState(VmJson.at("state").get<std::string>()),
          VmJson.at("boots").get<uint64_t>()};
    return Result;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

PlatformClient::PlatformClient(EventLoop &Loop,
                               std::optional<SocketAddress> Address,
                               const Tracing &Tracer, ReportCallback OnReport)
    : Loop(Loop), Client(Loop), Address(std::move(Address)), Tracer(Tracer),
      OnReport(std::move(OnReport)) {
  if (this->Address)
    Loop.timers().scheduleEvery(PollInterval, [this] { poll(); });
}

void PlatformClient::poll() {
  if (IsPolling)
    return;
  IsPolling = true;
  std::shared_ptr<opentracing::Span> Span =
      Tracer.startRoutine("control.readPlatform");
  HttpRequest Request{"GET", "/v1/vms", {}, {}, {}};
  Request.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
  auto HandleResult = [this, Span](const HttpResult &Result) {
    IsPolling = false;
    Span->Finish();
    const auto *Response = std::get_if<HttpResponse>(&Result);
    if (Response == nullptr)
      return;
    if (auto Vms = parsePlatformReport(Response->Body))
      OnReport(std::move(*Vms));
  };
  Client.send(*Address, Request, RequestTimeout, HandleResult);
}

void PlatformClient::sendAction(const std::string &Vm,
                                const std::string &Action) {
  if (!Address)
    return;
  Loop.post([this, Vm, Action] {
    std::shared_ptr<opentracing::Span> Span =
        Tracer.start("control.orderPlatform", {});
    Span->SetTag("vm", Vm);
    Span->SetTag("action", Action);
    HttpRequest Request{"POST", "/v1/vms/" + Vm + "/" + Action, {}, {}, {}};
    Request.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
    Client.send(*Address, Request, RequestTimeout,
                [Span](const HttpResult &) { Span->Finish(); });
  });
}

void PlatformClient::drainVm(const std::string &Vm) { sendAction(Vm, "drain"); }
void PlatformClient::rebootVm(const std::string &Vm) {
  sendAction(Vm, "reboot");
}

} // namespace mimosashunt
