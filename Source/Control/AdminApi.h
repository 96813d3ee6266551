// The administration API of a control VM. It translates operators' HTTP
// requests into fleet commands and JSON views. All of it runs on the control
// task's thread.

#ifndef MIMOSASHUNT_CONTROL_ADMINAPI_H
#define MIMOSASHUNT_CONTROL_ADMINAPI_H

#include "Control/ControlSettings.h"
#include "Core/ControlCore.h"
#include "Links/HttpTypes.h"

#include <functional>
#include <string>

namespace mimosashunt {

/// Handles the HTTP requests under /v1. Only the leader answers them; other
/// control VMs redirect to it. Bootstrap requests are handled on any VM.
class AdminApi {
public:
  using ResponseCallback = std::function<void(HttpResponse)>;

  AdminApi(const ControlSettings &Settings, ControlCore &Core,
           TimerService &Timers)
      : Settings(Settings), Core(Core), Timers(Timers) {}

  /// Handles a request and calls \p Respond exactly once: immediately for reads
  /// and refusals, or after the submitted command has committed or timed out.
  void handle(const HttpRequest &Request, const ResponseCallback &Respond);

  /// Returns true if the request may open the screen's event stream: the screen
  /// is public, or the request carries a valid operator's key.
  bool mayWatchScreen(const HttpRequest &Request) const;

private:
  /// Founds the group on this VM with its first operator.
  HttpResponse bootstrap(const HttpRequest &Request);
  /// Returns a redirect to the leader, or 503 if none is known.
  HttpResponse redirectToLeader(const HttpRequest &Request) const;
  /// Builds the view called \p ViewName. Returns false if there is none.
  bool buildView(const std::string &ViewName, Json &Body) const;
  /// Answers a GET request. Returns false if its path does not exist.
  bool handleRead(const HttpRequest &Request, HttpResponse &Response) const;
  /// Parses a PUT, POST or DELETE request into \p Action. Returns false with
  /// the error response in \p Refusal if the request is invalid.
  bool parseChange(const HttpRequest &Request, FleetAction &Action,
                   HttpResponse &Refusal) const;
  /// Parses a DELETE request in the same way.
  bool parseRemoval(const HttpRequest &Request, FleetAction &Action,
                    HttpResponse &Refusal) const;
  /// Returns the name of the operator whose key the request carries, or nothing
  /// if the key is missing or unknown.
  std::optional<std::string>
  authenticateOperator(const HttpRequest &Request) const;

  const ControlSettings &Settings;
  ControlCore &Core;
  TimerService &Timers;
};

} // namespace mimosashunt

#endif
