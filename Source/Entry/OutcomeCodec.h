// Converts the outcomes of requests to HTTP responses, for callers and for
// other entry VMs, and back.

#ifndef MIMOSASHUNT_ENTRY_OUTCOMECODEC_H
#define MIMOSASHUNT_ENTRY_OUTCOMECODEC_H

#include "Core/EntryTypes.h"
#include "Links/HttpTypes.h"

#include <optional>
#include <string>

namespace mimosashunt {

/// Returns the stable name of a refusal, as it stands in problem bodies and
/// metrics.
std::string refusalName(Refusal Reason);

/// Encodes an outcome. Anything but Answered becomes a JSON problem body.
HttpResponse encodeOutcome(const Outcome &Result);

/// Reverses encodeOutcome(). Returns none if the response carries no valid
/// outcome.
std::optional<Outcome> decodeOutcome(const HttpResponse &Response);

} // namespace mimosashunt

#endif
