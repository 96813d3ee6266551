// Interfaces that translate HTTP requests from callers, workers and operators
// into typed values, and typed results into HTTP responses. The daemons of the
// job path use only these interfaces; the platform directory implements them.

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

/// Parses the text of a service configuration.
class ConfigurationReader {
public:
  virtual ~ConfigurationReader() = default;
  /// Returns a description of the first error, or nothing if \p Text is valid.
  virtual std::optional<std::string>
  read(const std::string &Text, ServiceConfiguration &Result) const = 0;
};

/// A caller's request for the number of pending jobs in a queue.
struct QueueQuery {
  std::string Queue;
};

/// Why a gateway rejects a caller's request without forwarding it to the
/// leader.
struct CallRefusal {
  enum class ReasonCode : uint8_t {
    UnknownQueue,
    InvalidKey,
    MalformedRequest,
    WrongMethod,
    NotReady,
    NoMemory
  };
  ReasonCode Reason = ReasonCode::NotReady;
  std::string Detail;
};

/// Name of the reason in logs and metrics.
inline const char *nameOf(CallRefusal::ReasonCode Reason) {
  switch (Reason) {
  case CallRefusal::ReasonCode::UnknownQueue:
    return "no_queue";
  case CallRefusal::ReasonCode::InvalidKey:
    return "bad_key";
  case CallRefusal::ReasonCode::MalformedRequest:
    return "bad_form";
  case CallRefusal::ReasonCode::WrongMethod:
    return "wrong_method";
  case CallRefusal::ReasonCode::NotReady:
    return "not_ready";
  case CallRefusal::ReasonCode::NoMemory:
    return "no_memory";
  }
  return "unknown";
}

using CallerRequest = std::variant<JobRequest, QueueQuery, CallRefusal>;

/// Translates the requests of callers at entry VMs.
class CallerCodec {
public:
  virtual ~CallerCodec() = default;
  /// Checks queue, key and body against the configuration.
  virtual CallerRequest
  decode(const HttpRequest &Request,
         const ServiceConfiguration &Configuration) const = 0;
  virtual HttpResponse answer(JobRequestKind Kind,
                              const JobResponse &Response) const = 0;
  virtual HttpResponse answer(const CallRefusal &Refusal) const = 0;
  virtual HttpResponse pendingResponse(size_t Count) const = 0;
  virtual bool isReadinessProbe(const HttpRequest &Request) const = 0;
  /// How long the caller waits for the response, in milliseconds, if it says
  /// so.
  virtual std::optional<int64_t>
  callerTimeoutMs(const HttpRequest &Request) const = 0;
};

/// A worker shuts down and must get no more tasks.
struct WorkerDeregistration {
  std::string Id;
  /// Which process of the worker, in Unix milliseconds, if it says so.
  std::optional<int64_t> Incarnation;
};
/// An operator's new service configuration.
struct ConfigurationUpload {
  ServiceConfiguration Content;
};
/// A request for the configuration in force.
struct ConfigurationQuery {};
/// A request for the state of a maintenance wave.
struct WaveQuery {
  uint64_t Wave = 0;
};
/// An operator's order to evacuate a data centre, or to end its evacuation.
struct EvacuationOrder {
  std::string DataCentre;
  bool Active = false;
};
/// A request that cannot be handled, with the reason for the sender.
struct InvalidControlRequest {
  enum class ReasonCode : uint8_t { Malformed, NotFound, Conflict };
  ReasonCode Reason = ReasonCode::Malformed;
  std::string Detail;
};

using ControlRequest =
    std::variant<WorkerReport, WorkerDeregistration, ConfigurationUpload,
                 ConfigurationQuery, StartWave, WaveQuery, EvacuationOrder,
                 InvalidControlRequest>;

/// Translates the requests of workers and operators at control VMs.
class ControlCodec {
public:
  virtual ~ControlCodec() = default;
  virtual ControlRequest decode(const HttpRequest &Request) const = 0;
  /// Acknowledges a worker's report and names the leader, which should receive
  /// the next one.
  virtual HttpResponse
  reportResponse(const std::string &LeaderAddress) const = 0;
  virtual HttpResponse acknowledgement() const = 0;
  virtual HttpResponse
  refusalResponse(const InvalidControlRequest &Request) const = 0;
  /// There is no leader, or the proposal was not committed.
  virtual HttpResponse unavailableResponse() const = 0;
  virtual HttpResponse configurationResponse(const std::string &Text) const = 0;
  virtual HttpResponse waveResponse(bool Completed) const = 0;
};

} // namespace mimosashunt

#endif
