// Tracing of requests. Finished spans are written as lines of JSON; the trace
// context is passed between processes in the W3C traceparent header.

#ifndef MIMOSASHUNT_DAEMON_TRACING_H
#define MIMOSASHUNT_DAEMON_TRACING_H

#include <atomic>
#include <memory>
#include <opentracing/tracer.h>
#include <string>

namespace mimosashunt {

/// Name of the HTTP header that carries the trace context.
inline constexpr const char *TraceParentHeader = "traceparent";

using SpanPtr = std::unique_ptr<opentracing::Span>;

/// Starts the spans of one process.
class Tracing {
public:
  /// Appends finished spans of \p Process to \p File, or drops them if the name
  /// is empty. One in \p SampleEvery traces that begin in this process is
  /// sampled.
  Tracing(const std::string &Process, const std::string &File,
          unsigned SampleEvery);
  ~Tracing();
  Tracing(const Tracing &) = delete;
  Tracing &operator=(const Tracing &) = delete;

  /// Starts a span as a child of \p TraceParent, or a new trace if that is
  /// empty or malformed.
  SpanPtr start(const std::string &Name, const std::string &TraceParent) const;

  /// Starts a new trace for periodic background work, such as a poll. One in
  /// RoutineSampleInterval (Tracing.cpp) of these is sampled.
  SpanPtr startRoutine(const std::string &Name) const;

  /// Returns the traceparent header for calls that are made within the span.
  std::string traceParent(const opentracing::Span &Span) const;

private:
  std::shared_ptr<opentracing::Tracer> Tracer;
  mutable std::atomic<unsigned> RoutineCount{0};
};

} // namespace mimosashunt

#endif
