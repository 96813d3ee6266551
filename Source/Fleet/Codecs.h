// What the daemons of the job path need translated: calls of callers, workers
// and operators. The daemons see typed values only; a
// platform's folder implements these.

#ifndef MIMOSASHUNT_FLEET_CODECS_H
#define MIMOSASHUNT_FLEET_CODECS_H

#include "Jobs/JobCommands.h"
#include "Jobs/ServiceConfiguration.h"
#include "Links/HttpTypes.h"
#include "Pools/VmTypes.h"
#include "Scheduling/Dispatcher.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mimosashunt {

/// Reads configurations; returns the fault, or nothing if it is valid.
class ConfigurationReader {
public:
  virtual ~ConfigurationReader() = default;
  virtual std::optional<std::string>
  read(const std::string &Text, ServiceConfiguration &Result) const = 0;
};

/// A caller asks how many jobs of a queue wait.
struct QueueQuery {
  std::string Queue;
};

/// The call is answered without asking the leader.
struct CallRefusal {
  enum class ReasonCode : uint8_t {
    UnknownQueue,
    InvalidKey,
    MalformedRequest,
    WrongMethod,
    NotReady
  };
  Why Reason = Why::NotReady;
  std::string Detail;
};

inline const char *nameOf(CallRefusal::Why Reason) {
  switch (Reason) {
  case CallRefusal::Why::UnknownQueue:
    return "no_queue";
  case CallRefusal::Why::InvalidKey:
    return "bad_key";
  case CallRefusal::Why::MalformedRequest:
    return "bad_form";
  case CallRefusal::Why::WrongMethod:
    return "wrong_method";
  case CallRefusal::Why::NotReady:
    return "not_ready";
  }
  return "unknown";
}

using CallerRequest = std::variant<JobRequest, QueueQuery, CallRefusal>;

class CallerCodec {
public:
  virtual ~CallerCodec() = default;
  virtual CallerRequest decode(const HttpRequest &Request,
                               const ServiceConfiguration &In) const = 0;
  virtual HttpResponse answer(CallKind Kind,
                              const JobResponse &Answer) const = 0;
  virtual HttpResponse answer(const CallRefusal &Refusal) const = 0;
  virtual HttpResponse pendingResponse(size_t Count) const = 0;
  virtual bool isReadinessProbe(const HttpRequest &Request) const = 0;
  /// How long the caller waits for the answer, if it says so.
  virtual std::optional<int64_t>
  callerTimeoutMs(const HttpRequest &Request) const = 0;
};

struct WorkerDeregistration {
  std::string Id;
};
struct ConfigurationUpload {
  ServiceConfiguration Content;
};
struct ConfigurationQuery {};
struct WaveQuery {
  uint64_t Wave = 0;
};
struct InvalidControlRequest {
  bool IsNotFound = false;
  std::string Detail;
};

using ControlRequest =
    std::variant<WorkerReport, WorkerDeregistration, ConfigurationUpload,
                 ConfigurationQuery, StartWave, WaveQuery,
                 InvalidControlRequest>;

class ControlCodec {
public:
  virtual ~ControlCodec() = default;
  virtual ControlRequest decode(const HttpRequest &Request) const = 0;
  /// Acknowledges a worker's report and names where the next one should go.
  virtual HttpResponse
  reportResponse(const std::string &LeaderAddress) const = 0;
  virtual HttpResponse acknowledgement() const = 0;
  virtual HttpResponse
  refusalResponse(const InvalidControlRequest &Why) const = 0;
  virtual HttpResponse unavailableResponse() const = 0;
  virtual HttpResponse configurationResponse(const std::string &Text) const = 0;
  virtual HttpResponse waveResponse(bool Completed) const = 0;
};

} // namespace mimosashunt

#endif
