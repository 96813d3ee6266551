// Records of request ids as they move from one keeper to the next.

#ifndef MIMOSASHUNT_CORE_RECORDTRANSFER_H
#define MIMOSASHUNT_CORE_RECORDTRANSFER_H

#include "Core/FleetTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mimosashunt {

enum class RecordState : uint8_t {
  InFlight = 0,
  Answered = 1,
  Failed = 2,
  Unknown = 3,
  NotRun = 4,
};

struct TransferredRecord {
  std::string RequestId;
  std::string Scope;
  RecordState State = RecordState::InFlight;
  int Status = 0;
  std::string ContentType;
  std::string Body; // Of the answer, or what is known of the failure.

  static void describe(auto &Self, auto Field) {
    Field("requestId", Self.RequestId);
    Field("scope", Self.Scope);
    Field("state", Self.State);
    Field("status", Self.Status);
    Field("contentType", Self.ContentType);
    Field("body", Self.Body);
  }
  bool operator==(const TransferredRecord &) const = default;
};

/// One page of records.
struct RecordPage {
  EntryRun From;
  uint64_t Epoch = 0;
  std::vector<TransferredRecord> Records;
  /// Nothing follows but the ends of what is under way.
  bool Last = false;
  /// How long the sender's own records are incomplete yet.
  uint32_t IncompleteMillis = 0;

  static void describe(auto &Self, auto Field) {
    Field("from", Self.From);
    Field("epoch", Self.Epoch);
    Field("records", Self.Records);
    Field("last", Self.Last);
    Field("incompleteMillis", Self.IncompleteMillis);
  }
  bool operator==(const RecordPage &) const = default;
};

std::string encodeRecordPage(const RecordPage &Page);

/// Reverses encodeHandOver(); none for bytes that are no page.
std::optional<RecordPage> decodeRecordPage(const std::string &Bytes);

} // namespace mimosashunt

#endif
