// Pages in which records of request ids move from one keeper to the next, and
// their CBOR encoding.

#ifndef MIMOSASHUNT_CORE_RECORDTRANSFER_H
#define MIMOSASHUNT_CORE_RECORDTRANSFER_H

#include "Core/FleetTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mimosashunt {

/// What is known of the request; sent as a number.
enum class RecordState : uint8_t {
  InFlight = 0,
  Answered = 1,
  Failed = 2,
  Unknown = 3,
  NotRun = 4,
};

/// The record of one request id.
struct TransferredRecord {
  std::string RequestId;
  /// Queue and key of the caller; see RequestRecords::beginRequest().
  std::string Scope;
  RecordState State = RecordState::InFlight;
  int Status = 0;
  std::string ContentType;
  std::string Body; // Of the response, or a description of the failure.

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

/// A page of records from one keeper to another.
struct RecordPage {
  EntryRun From;
  /// Epoch of the sender's keeper set; other epochs' pages are rejected.
  uint64_t Epoch = 0;
  std::vector<TransferredRecord> Records;
  /// True if all records have been sent; only outcomes of requests that are
  /// in flight at the sender may follow.
  bool Last = false;
  /// How long the sender's own records remain incomplete.
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

/// Reverses encodeRecordPage(). Returns none if the bytes are not a valid page.
std::optional<RecordPage> decodeRecordPage(const std::string &Bytes);

} // namespace mimosashunt

#endif
