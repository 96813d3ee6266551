// JSON schemas of the request bodies that operators send: the teams' documents,
// keys, operators, pools, VMs, moves and waves.

#ifndef MIMOSASHUNT_CONTROL_DOCUMENTSCHEMA_H
#define MIMOSASHUNT_CONTROL_DOCUMENTSCHEMA_H

#include "Core/FleetTypes.h"

#include <string>

namespace mimosashunt {

Json documentSchema();
Json keySchema();
Json operatorSchema();
Json poolSchema();
Json vmSchema();
Json moveSchema();
Json waveSchema();

/// Reads a document that conforms to documentSchema(). Omitted fields get their
/// default values.
TeamDocument readDocument(const Json &DocumentJson);

} // namespace mimosashunt

#endif
