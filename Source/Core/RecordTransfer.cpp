#include "Core/RecordTransfer.h"

#include "Core/JsonFields.h"

#include <exception>

namespace mimosashunt {

std::string encodeRecordPage(const RecordPage &Page) {
  std::vector<uint8_t> Bytes = Json::to_cbor(Json(Page));
  return {Bytes.begin(), Bytes.end()};
}

std::optional<RecordPage> decodeRecordPage(const std::string &Bytes) {
  try {
    auto Page = readCbor(Bytes).get<RecordPage>();
    for (const TransferredRecord &Record : Page.Records)
      if (Record.State > RecordState::NotRun)
        return std::nullopt;
    return Page;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace mimosashunt
