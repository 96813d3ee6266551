// Tests of the CBOR writer and reader: the writer gives the bytes of
// Json::to_cbor(), the reader takes them back, and bytes that are no CBOR never
// crash it.

#include "Codec/Cbor.h"
#include "Core/JsonFields.h"

#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

std::string generalCbor(const Json &Value) {
  std::string Bytes;
  Json::to_cbor(Value, Bytes);
  return Bytes;
}

/// Writes a whole tree with the writer.
void writeTree(CborWriter &Out, const Json &Value) {
  if (Value.is_null())
    Out.null();
  else if (Value.is_boolean())
    Out.boolean(Value.get<bool>());
  else if (Value.is_number_unsigned())
    Out.number(Value.get<uint64_t>());
  else if (Value.is_number_integer())
    Out.number(Value.get<int64_t>());
  else if (Value.is_number_float())
    Out.floating(Value.get<double>());
  else if (Value.is_string())
    Out.text(Value.get<std::string>());
  else if (Value.is_array()) {
    Out.array(Value.size());
    for (const Json &Item : Value)
      writeTree(Out, Item);
  } else {
    Out.map(Value.size());
    for (const auto &[Key, Item] : Value.items()) {
      Out.text(Key);
      writeTree(Out, Item);
    }
  }
}

std::string directCbor(const Json &Value) {
  std::string Bytes;
  CborWriter Out(Bytes);
  writeTree(Out, Value);
  return Bytes;
}

/// Numbers around the limits of the encodings' sizes.
rc::Gen<int64_t> numbers() {
  return rc::gen::apply(
      [](int Bits, int Offset, bool Negative) {
        auto Value = static_cast<int64_t>((uint64_t(1) << Bits) - 1);
        Value = Value > INT64_MAX - 3 ? Value : Value + Offset;
        return Negative ? -Value : Value;
      },
      rc::gen::inRange(0, 64), rc::gen::inRange(0, 3),
      rc::gen::arbitrary<bool>());
}

TEST(Cbor, LimitsOfEachSizeGiveTheBytesOfTheGeneralEncoder) {
  for (int Bits = 0; Bits < 64; ++Bits)
    for (int Offset = -1; Offset <= 1; ++Offset) {
      uint64_t Value = (uint64_t(1) << Bits) + static_cast<uint64_t>(Offset);
      EXPECT_EQ(directCbor(Value), generalCbor(Value)) << Value;
      auto Negative = static_cast<int64_t>(~Value);
      EXPECT_EQ(directCbor(Negative), generalCbor(Negative)) << Negative;
    }
  for (double Value : {0.0, -0.0, 1.5, 0.1, 1e300, -1e-300, 3.4e38, 1e39,
                       std::nan(""), HUGE_VAL, -HUGE_VAL})
    EXPECT_EQ(directCbor(Value), generalCbor(Value)) << Value;
}

RC_GTEST_PROP(Cbor, GivesTheBytesOfTheGeneralEncoder,
              (std::vector<std::string> Texts, std::vector<double> Doubles)) {
  auto Numbers = *rc::gen::container<std::vector<int64_t>>(numbers());
  Json Value = {{"texts", Texts},     {"doubles", Doubles}, {"null", nullptr},
                {"numbers", Numbers}, {"yes", true},        {"no", false}};
  RC_ASSERT(directCbor(Value) == generalCbor(Value));
}

RC_GTEST_PROP(Cbor, ReadsWhatWasWritten,
              (const std::string &Text, double Double)) {
  int64_t Number = *numbers();
  std::string Bytes;
  CborWriter Out(Bytes);
  Out.array(2);
  Out.map(1);
  Out.text(Text);
  Out.number(Number);
  Out.null();
  Out.floating(Double);
  Out.bytes(Text);
  Out.boolean(true);
  CborReader In(Bytes);
  RC_ASSERT(In.array() == 2U);
  RC_ASSERT(!In.skipNull());
  RC_ASSERT(In.map() == 1U);
  RC_ASSERT(In.text() == Text);
  RC_ASSERT(In.number<int64_t>() == Number);
  RC_ASSERT(In.skipNull());
  RC_ASSERT(In.floating() == Double);
  RC_ASSERT(In.bytes() == Text);
  RC_ASSERT(In.boolean());
  RC_ASSERT(In.isAtEnd());
}

// A number that was truncated to its field was taken for another one, such as
// the attempt of another run.
TEST(Cbor, RefusesNumbersOutOfRange) {
  EXPECT_EQ(CborReader(directCbor(255)).number<uint8_t>(), 255U);
  EXPECT_THROW(CborReader(directCbor(256)).number<uint8_t>(), CborError);
  EXPECT_THROW(CborReader(directCbor(-1)).number<uint32_t>(), CborError);
  EXPECT_EQ(CborReader(directCbor(-128)).number<int8_t>(), -128);
  EXPECT_THROW(CborReader(directCbor(-129)).number<int8_t>(), CborError);
  EXPECT_THROW(CborReader(directCbor(UINT64_MAX)).number<int64_t>(), CborError);
  // The lowest negative number of CBOR, -2^64, is in no type's range.
  EXPECT_THROW(
      CborReader("\x3b\xff\xff\xff\xff\xff\xff\xff\xff").number<int64_t>(),
      CborError);
}

// Guards against an item that libcbor decodes but the reader does not support
// being taken for a value or skipped without what follows it.
TEST(Cbor, RefusesTagsIndefiniteLengthsAndOtherSimpleValues) {
  using namespace std::string_literals;
  for (const std::string &Bytes :
       {"\xc1\x01"s, "\xd8\x20\x01"s, "\x5f\x41\x61\xff"s, "\x7f\x61\x61\xff"s,
        "\x9f\x01\xff"s, "\xbf\x61\x61\x01\xff"s, "\xff"s, "\xf7"s, "\xe0"s,
        "\xf8\x20"s, "\x1c"s, "\x1f"s, "\x5c"s, "\x9d"s, "\xfc"s}) {
    EXPECT_THROW(CborReader(Bytes).skip(), CborError);
    EXPECT_THROW(CborReader(Bytes).number<int>(), CborError);
    EXPECT_THROW(CborReader(Bytes).text(), CborError);
    EXPECT_THROW(CborReader(Bytes).array(), CborError);
  }
  EXPECT_THROW(CborReader("\xf9\x7e\x01").floating(), CborError);
}

TEST(Cbor, RefusesLengthsBeyondTheBytes) {
  // A text, an array and a map of 2^32 - 1 elements.
  for (std::string Bytes : {"\x7a\xff\xff\xff\xff", "\x9a\xff\xff\xff\xff",
                            "\xba\xff\xff\xff\xff"}) {
    EXPECT_THROW(CborReader(Bytes).text(), CborError);
    EXPECT_THROW(CborReader(Bytes).array(), CborError);
    EXPECT_THROW(CborReader(Bytes).map(), CborError);
    EXPECT_THROW(CborReader(Bytes).skip(), CborError);
  }
  std::string Nested(100000, '\x81'); // Arrays of one array each.
  EXPECT_THROW(CborReader(Nested).skip(), CborError);
}

RC_GTEST_PROP(Cbor, SkipsExactlyOneValue, (std::vector<std::string> Texts)) {
  Json Value = {{"texts", Texts},  {"n", -77777},
                {"d", 0.1},        {"s", 1.5},
                {"null", nullptr}, {"bytes", Json::binary({1, 2})}};
  std::string Bytes = generalCbor(Value);
  CborReader Whole(Bytes);
  Whole.skip();
  RC_ASSERT(Whole.isAtEnd());
  for (size_t Length = 0; Length < Bytes.size(); ++Length)
    RC_ASSERT_THROWS_AS(
        CborReader(std::string_view(Bytes).substr(0, Length)).skip(),
        CborError);
}

RC_GTEST_PROP(Cbor, ArbitraryBytesAreReadOrRefused,
              (const std::string &Bytes)) {
  for (int Function = 0; Function < 7; ++Function) {
    CborReader In(Bytes);
    try {
      switch (Function) {
      case 0:
        In.number<int64_t>();
        break;
      case 1:
        In.floating();
        break;
      case 2:
        In.boolean();
        break;
      case 3:
        RC_ASSERT(In.text().size() < Bytes.size());
        break;
      case 4:
        RC_ASSERT(In.array() < Bytes.size());
        break;
      case 5:
        RC_ASSERT(In.map() < Bytes.size());
        break;
      default:
        In.skip();
      }
    } catch (const CborError &) {
      continue;
    }
  }
}

TEST(Cbor, AnArrayReaderSkipsFurtherElementsAndRefusesMissingOnes) {
  std::string Bytes = directCbor(Json::array({1, "text", Json::array({2}), 3}));
  CborReader In(Bytes);
  CborArrayReader Fields(In);
  EXPECT_EQ(Fields.number<int>(), 1);
  EXPECT_EQ(Fields.text(), "text");
  Fields.finish();
  EXPECT_TRUE(In.isAtEnd());
  CborReader Again(Bytes);
  CborArrayReader Short(Again);
  for (int I = 0; I < 4; ++I)
    Short.next().skip();
  EXPECT_THROW(Short.next(), CborError);
}

} // namespace
} // namespace mimosashunt::test
