// Tests of checksummed records: an incomplete record at the end is ignored, any
// other damage is an error.

#include <gtest/gtest.h>

#include "Storage/RecordFile.h"
#include "Storage/StorageError.h"

#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

std::string encodeRecords(const std::vector<std::string> &Payloads) {
  std::string Bytes;
  uint64_t Sequence = 0;
  for (const std::string &Payload : Payloads)
    Bytes += frameRecord(Payload, Sequence++);
  return Bytes;
}

RC_GTEST_PROP(RecordFile, ReadsBackWhatWasWritten,
              (const std::vector<std::string> &Payloads)) {
  ParsedRecords Parsed;
  RC_ASSERT(!parseRecords(encodeRecords(Payloads), 0, Parsed));
  RC_ASSERT(Parsed.Payloads == Payloads);
}

RC_GTEST_PROP(RecordFile, AnIncompleteLastRecordIsIgnored,
              (const std::vector<std::string> &Payloads)) {
  RC_PRE(!Payloads.empty());
  std::string Bytes = encodeRecords(Payloads);
  size_t PrefixBytes = *rc::gen::inRange<size_t>(0, Bytes.size() + 1);
  ParsedRecords Parsed;
  RC_ASSERT(!parseRecords(Bytes.substr(0, PrefixBytes), 0, Parsed));
  RC_ASSERT(Parsed.ValidBytes <= PrefixBytes);
  std::vector<std::string> Expected(
      Payloads.begin(),
      Payloads.begin() + static_cast<ptrdiff_t>(Parsed.Payloads.size()));
  RC_ASSERT(Parsed.Payloads == Expected);
  // Every complete record is returned.
  RC_ASSERT(encodeRecords(Expected).size() == Parsed.ValidBytes);
}

RC_GTEST_PROP(RecordFile, DamageBeforeTheLastRecordIsRefused, ()) {
  auto Payloads = *rc::gen::container<std::vector<std::string>>(
      4, rc::gen::container<std::string>(20, rc::gen::inRange('a', 'z')));
  std::string Bytes = encodeRecords(Payloads);
  // The flipped bit lies in one of the first three of four records.
  size_t Offset = *rc::gen::inRange<size_t>(0, Bytes.size() / 4 * 3);
  Bytes[Offset] = static_cast<char>(Bytes[Offset] ^ 0x20);
  ParsedRecords Parsed;
  RC_ASSERT(parseRecords(Bytes, 0, Parsed) == StorageError::Damaged);
}

RC_GTEST_PROP(RecordFile, ArbitraryBytesAreParsedSafely,
              (const std::string &Bytes)) {
  ParsedRecords Parsed;
  parseRecords(Bytes, 0, Parsed);
  RC_ASSERT(Parsed.ValidBytes <= Bytes.size());
}

} // namespace
} // namespace mimosashunt::test
