#include "Daemon/Tracing.h"

#include "Core/JsonFields.h"
#include "Daemon/Secrets.h"

#include <atomic>
#include <chrono>
#include <fstream>
#include <map>
#include <mutex>
#include <opentracing/propagation.h>

namespace mimosashunt {

namespace {

using opentracing::expected;
using opentracing::make_unexpected;

constexpr size_t TraceIdBytes = 16;
constexpr size_t SpanIdBytes = 8;
// Ids of unsampled spans, which are never written. W3C traceparent forbids ids
// of all zeroes.
const char *const UnsampledTraceId = "00000000000000000000000000000001";
const char *const UnsampledSpanId = "0000000000000001";
// OpenTracing's tag that overrides the sampling decision for a new trace.
const char *const SamplingPriorityTag = "sampling.priority";
constexpr unsigned RoutineSampleInterval = 20;

/// Ids and sampling flag of a span.
class Context : public opentracing::SpanContext {
public:
  Context(std::string TraceId, std::string SpanId, bool Sampled)
      : TraceId(std::move(TraceId)), SpanId(std::move(SpanId)),
        Sampled(Sampled) {}

  void ForeachBaggageItem(
      std::function<bool(const std::string &, const std::string &)>)
      const override {}
  std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override {
    return std::make_unique<Context>(TraceId, SpanId, Sampled);
  }
  std::string ToTraceID() const noexcept override { return TraceId; }
  std::string ToSpanID() const noexcept override { return SpanId; }

  std::string toHeader() const {
    return "00-" + TraceId + "-" + SpanId + (Sampled ? "-01" : "-00");
  }

  static std::unique_ptr<Context> parse(const std::string &Header) {
    // version-traceid-spanid-flags with 2, 32, 16 and 2 hexadecimal digits.
    constexpr size_t Size = 55;
    constexpr size_t TraceIdOffset = 3;
    constexpr size_t SpanIdOffset = 36;
    constexpr size_t FlagsOffset = 53;
    if (Header.size() != Size || Header[TraceIdOffset - 1] != '-' ||
        Header[SpanIdOffset - 1] != '-' || Header[FlagsOffset - 1] != '-' ||
        Header.find_first_not_of("0123456789abcdef-") != std::string::npos)
      return nullptr;
    return std::make_unique<Context>(
        Header.substr(TraceIdOffset, 2 * TraceIdBytes),
        Header.substr(SpanIdOffset, 2 * SpanIdBytes), Header.back() == '1');
  }

  const std::string TraceId;
  const std::string SpanId;
  const bool Sampled;
};

/// Appends spans to a file, one line of JSON each. Thread-safe.
class SpanFile {
public:
  SpanFile(std::string Process, const std::string &File)
      : Process(std::move(Process)) {
    if (!File.empty())
      Out.open(File, std::ios::app);
  }
  bool isOpen() const { return Out.is_open(); }
  void write(Json Line) {
    Line["process"] = Process;
    std::lock_guard<std::mutex> Lock(Mutex);
    Out << toText(Line) << '\n' << std::flush;
  }

private:
  const std::string Process;
  std::mutex Mutex;
  std::ofstream Out; // Guarded by Mutex once open.
};

struct TagToJson {
  Json operator()(bool Value) const { return Value; }
  Json operator()(double Value) const { return Value; }
  Json operator()(int64_t Value) const { return Value; }
  Json operator()(uint64_t Value) const { return Value; }
  Json operator()(const std::string &Value) const { return Value; }
  Json operator()(const char *Value) const { return Value; }
  template <class Other> Json operator()(const Other &) const { return {}; }
};

/// Span that is written when it finishes, if it is sampled. Baggage and logs
/// are ignored.
class JsonSpan : public opentracing::Span {
public:
  JsonSpan(std::shared_ptr<const opentracing::Tracer> OwningTracer,
           std::shared_ptr<SpanFile> Output, std::string Name,
           Context OwnContext, std::string Parent)
      : OwningTracer(std::move(OwningTracer)), Output(std::move(Output)),
        Name(std::move(Name)), OwnContext(std::move(OwnContext)),
        Parent(std::move(Parent)),
        StartWallTime(std::chrono::system_clock::now()),
        StartTime(std::chrono::steady_clock::now()) {}
  ~JsonSpan() override { JsonSpan::FinishWithOptions({}); }

  void
  FinishWithOptions(const opentracing::FinishSpanOptions &) noexcept override {
    if (IsFinished || !OwnContext.Sampled || !Output->isOpen()) {
      IsFinished = true;
      return;
    }
    IsFinished = true;
    auto Micros = [](auto Value) {
      return std::chrono::duration_cast<std::chrono::microseconds>(Value)
          .count();
    };
    Json Line = {{"trace", OwnContext.TraceId},
                 {"span", OwnContext.SpanId},
                 {"name", Name},
                 {"startMicros", Micros(StartWallTime.time_since_epoch())},
                 {"durationMicros",
                  Micros(std::chrono::steady_clock::now() - StartTime)},
                 {"tags", Tags}};
    if (!Parent.empty())
      Line["parent"] = Parent;
    Output->write(std::move(Line));
  }
  void SetOperationName(opentracing::string_view NewName) noexcept override {
    Name = NewName;
  }
  void SetTag(opentracing::string_view Key,
              const opentracing::Value &Value) noexcept override {
    Tags[std::string(Key)] = opentracing::Value::visit(Value, TagToJson{});
  }
  void SetBaggageItem(opentracing::string_view,
                      opentracing::string_view) noexcept override {}
  std::string BaggageItem(opentracing::string_view) const noexcept override {
    return {};
  }
  void Log(std::initializer_list<
           std::pair<opentracing::string_view, opentracing::Value>>) noexcept
      override {}
  void
  Log(opentracing::SystemTime,
      std::initializer_list<std::pair<opentracing::string_view,
                                      opentracing::Value>>) noexcept override {}
  void
  Log(opentracing::SystemTime,
      const std::vector<std::pair<opentracing::string_view, opentracing::Value>>
          &) noexcept override {}
  const opentracing::SpanContext &context() const noexcept override {
    return OwnContext;
  }
  const opentracing::Tracer &tracer() const noexcept override {
    return *OwningTracer;
  }

private:
  std::shared_ptr<const opentracing::Tracer> OwningTracer;
  std::shared_ptr<SpanFile> Output;
  std::string Name;
  const Context OwnContext;
  const std::string Parent;
  const std::chrono::system_clock::time_point StartWallTime;
  const std::chrono::steady_clock::time_point StartTime;
  Json Tags = Json::object();
  bool IsFinished = false;
};

/// Tracer that creates JsonSpans and decides which new traces are sampled.
class JsonTracer : public opentracing::Tracer,
                   public std::enable_shared_from_this<JsonTracer> {
public:
  JsonTracer(std::shared_ptr<SpanFile> Output, unsigned SampleEvery)
      : Output(std::move(Output)), SampleEvery(SampleEvery) {}

  SpanPtr StartSpanWithOptions(
      opentracing::string_view Name,
      const opentracing::StartSpanOptions &Options) const noexcept override {
    const Context *Parent = nullptr;
    for (const auto &Reference : Options.references)
      Parent = dynamic_cast<const Context *>(Reference.second);
    bool Sampled = Parent ? Parent->Sampled : shouldSampleRoot(Options);
    // An unsampled span is never written, so it needs no random id.
    std::string SpanId = Sampled ? randomHex(SpanIdBytes) : UnsampledSpanId;
    std::string TraceId = Parent    ? Parent->TraceId
                          : Sampled ? randomHex(TraceIdBytes)
                                    : UnsampledTraceId;
    return std::make_unique<JsonSpan>(
        shared_from_this(), Output, std::string(Name),
        Context(TraceId, SpanId, Sampled), Parent ? Parent->SpanId : "");
  }

  expected<void> Inject(const opentracing::SpanContext &,
                        std::ostream &) const override {
    return make_unexpected(opentracing::invalid_carrier_error);
  }
  expected<void>
  Inject(const opentracing::SpanContext &Source,
         const opentracing::TextMapWriter &Writer) const override {
    return Writer.Set(TraceParentHeader,
                      dynamic_cast<const Context &>(Source).toHeader());
  }
  expected<void>
  Inject(const opentracing::SpanContext &Source,
         const opentracing::HTTPHeadersWriter &Writer) const override {
    return Writer.Set(TraceParentHeader,
                      dynamic_cast<const Context &>(Source).toHeader());
  }
  expected<std::unique_ptr<opentracing::SpanContext>>
  Extract(std::istream &) const override {
    return make_unexpected(opentracing::invalid_carrier_error);
  }
  expected<std::unique_ptr<opentracing::SpanContext>>
  Extract(const opentracing::TextMapReader &Reader) const override {
    std::unique_ptr<opentracing::SpanContext> Parsed;
    auto Visit = [&](opentracing::string_view Key,
                     opentracing::string_view Value) -> expected<void> {
      if (std::string(Key) == TraceParentHeader)
        Parsed = Context::parse(Value);
      return {};
    };
    auto Read = Reader.ForeachKey(Visit);
    if (!Read)
      return make_unexpected(Read.error());
    return Parsed;
  }
  expected<std::unique_ptr<opentracing::SpanContext>>
  Extract(const opentracing::HTTPHeadersReader &Reader) const override {
    return Extract(static_cast<const opentracing::TextMapReader &>(Reader));
  }

private:
  bool shouldSampleRoot(const opentracing::StartSpanOptions &Options) const {
    for (const auto &[Name, Value] : Options.tags)
      if (Name == SamplingPriorityTag)
        return Output->isOpen() && Value.get<uint64_t>() > 0;
    return Output->isOpen() && SampleEvery > 0 &&
           RootCount++ % SampleEvery == 0;
  }

  std::shared_ptr<SpanFile> Output;
  const unsigned SampleEvery;
  mutable std::atomic<unsigned> RootCount{0};
};

/// Presents a single traceparent value as HTTP headers.
class HeaderReader : public opentracing::HTTPHeadersReader {
public:
  explicit HeaderReader(const std::string &Value) : Value(Value) {}
  expected<void>
  ForeachKey(std::function<expected<void>(opentracing::string_view,
                                          opentracing::string_view)>
                 Visit) const override {
    return Visit(TraceParentHeader, Value);
  }

private:
  const std::string &Value;
};

/// Stores the injected traceparent value in a string.
class HeaderWriter : public opentracing::HTTPHeadersWriter {
public:
  explicit HeaderWriter(std::string &Value) : Value(Value) {}
  expected<void> Set(opentracing::string_view,
                     opentracing::string_view NewValue) const override {
    Value = NewValue;
    return {};
  }

private:
  std::string &Value;
};

} // namespace

Tracing::Tracing(const std::string &Process, const std::string &File,
                 unsigned SampleEvery)
    : Tracer(std::make_shared<JsonTracer>(
          std::make_shared<SpanFile>(Process, File), SampleEvery)) {}

Tracing::~Tracing() = default;

SpanPtr Tracing::start(const std::string &Name,
                       const std::string &TraceParent) const {
  auto Parent = Tracer->Extract(HeaderReader(TraceParent));
  if (!Parent || !*Parent)
    return Tracer->StartSpan(Name);
  return Tracer->StartSpan(Name, {opentracing::ChildOf(Parent->get())});
}

SpanPtr Tracing::startRoutine(const std::string &Name) const {
  uint64_t Priority = RoutineCount++ % RoutineSampleInterval == 0 ? 1 : 0;
  return Tracer->StartSpan(
      Name, {opentracing::SetTag(SamplingPriorityTag, Priority)});
}

std::string Tracing::traceParent(const opentracing::Span &Span) const {
  std::string Value;
  Tracer->Inject(Span.context(), HeaderWriter(Value));
  return Value;
}

} // namespace mimosashunt
