// Property tests of the decoders: any bytes, and valid messages with one field
// replaced, neither throw nor end the process.

#include "Jobs/Limits.h"
#include "Links/SocketAddress.h"
#include "platform/CallCodecs.h"
#include "platform/Fields.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::platform;

namespace {

const std::vector<std::string> Paths = {"/mimosashunt/instances/i-7f/heartbeat",
                                        "/mimosashunt/wave-start",
                                        "/mimosashunt/config/replace"};

const std::vector<Json> Messages = {
    Json::parse(R"({"service":"s","address":"10.0.0.9:80","zone":"z",
      "state":"ready","machine":"m","labels":["a","r"],"clock-ms":5,
      "sequence":4,"born":17,"capacity-free":{"cpu":1,"mem-mb":2,"gpu":0}})"),
    Json::parse(R"({"wave":3,"machines":["m-1"],"duration-s":2,"maximum":2})"),
    Json::parse(R"({"version":7,"routes":[],"services":[{"name":"s"}],
      "limits":{"max-body-bytes":9},"tenants":[{"name":"t","weight":6,
      "api-keys":["k"],"priority":1,"maximum":{"cpu":1}}]})")};

const Json JobMessage = Json::parse(R"({"spec":"x","repeat-count":2,
  "start-at-ms":5,"interval-ms":7,"steps":[{"count":4,"cpu":5,"mem-mb":2,
  "gpu":1,"estimate-ms":9,"after":[],"target-ms":3,"affinity":"r"}]})");

rc::Gen<std::string> oddValue() {
  return rc::gen::element<std::string>(
      "null", "true", "-1", "1e300", "1e400", "9223372036854775807",
      "18446744073709551615", "-9223372036854775808", "0.5", "\"\xff\"", "[]",
      "[[]]", "{}", "{\"cpu\":-1}", "\"\\u0000\"",
      std::string(5000, '[') + std::string(5000, ']'),
      "\"" + std::string(5000, 'x') + "\"");
}

/// Returns the text of \p Message with one of its values, at any depth,
/// replaced by the text \p Odd.
std::string withOddValue(const Json &Message, size_t Which,
                         const std::string &Odd) {
  Json Flat = Message.flatten();
  Json Copy = Message;
  auto Field = Flat.begin();
  std::advance(Field, static_cast<std::ptrdiff_t>(Which % Flat.size()));
  const char *const Mark = "replaced by this test";
  Copy[Json::json_pointer(Field.key())] = Mark;
  std::string Text = Copy.dump();
  std::string Quoted = std::string("\"") + Mark + "\"";
  return Text.replace(Text.find(Quoted), Quoted.size(), Odd);
}

bool isInRange(const Resources &Value) { return clampAmounts(Value) == Value; }

ControlRequest decodeControl(const std::string &Path, const std::string &Body) {
  ConfigurationCodec Reader;
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = Path;
  Request.Body = Body;
  return ControlCalls(Reader).decode(Request);
}

void checkControl(const ControlRequest &Read) {
  if (const auto *Report = std::get_if<WorkerReport>(&Read)) {
    SocketAddress Address;
    RC_ASSERT(!SocketAddress::parse(Report->Entry.Address, Address));
    RC_ASSERT(isInRange(Report->Entry.Capacity));
    RC_ASSERT(Report->ClockMs >= 0 && Report->ClockMs <= MaxExactInteger);
  }
  if (const auto *Upload = std::get_if<ConfigurationUpload>(&Read))
    for (const auto &Item : Upload->Content.Organisations)
      RC_ASSERT(isInRange(Item.Maximum));
  if (const auto *Wave = std::get_if<StartWave>(&Read))
    RC_ASSERT(Wave->DurationMs >= 0 && Wave->DurationMs <= MaxSpanMs);
}

void checkJob(const std::string &Body) {
  try {
    RC_ASSERT(limitError(parseJobSpec(Body)).empty());
  } catch (const FieldError &) {
    // The caller gets a 400.
  }
}

RC_GTEST_PROP(OddInput, AnyBytesAreReadOrRefused,
              (const std::string &Bytes, uint8_t Which)) {
  checkControl(decodeControl(Paths[Which % Paths.size()], Bytes));
  checkJob(Bytes);
}

RC_GTEST_PROP(OddInput, AnOddFieldIsReadOrRefused, (uint8_t Which)) {
  std::string Odd = *oddValue();
  for (size_t I = 0; I < Paths.size(); ++I)
    checkControl(
        decodeControl(Paths[I], withOddValue(Messages[I], Which, Odd)));
  checkJob(withOddValue(JobMessage, Which, Odd));
}

TEST(OddInput, DeepNestingIsRefusedWithoutRecursion) {
  // Four million levels exhaust any stack, also when a value is destroyed.
  constexpr size_t Depth = 4'000'000;
  std::string Deep = std::string(Depth, '[') + std::string(Depth, ']');
  for (const std::string &Path : Paths)
    for (const std::string &Body :
         {Deep, R"({"service":)" + Deep + "}", std::string(Depth, '{')})
      EXPECT_TRUE(std::holds_alternative<InvalidControlRequest>(
          decodeControl(Path, Body)));
  EXPECT_THROW(parseJobSpec(R"({"steps":)" + Deep + "}"), FieldError);
}

} // namespace
