// Building blocks of the daemons' JSON schemas.

#ifndef MIMOSASHUNT_DAEMON_SCHEMAPARTS_H
#define MIMOSASHUNT_DAEMON_SCHEMAPARTS_H

#include "Core/JsonFields.h"

#include <cstdint>
#include <string>

namespace mimosashunt {

inline Json stringSchema(const std::string &Description) {
  return {{"type", "string"}, {"minLength", 1}, {"description", Description}};
}

/// Schema of an integer within inclusive bounds.
inline Json numberSchema(const std::string &Description, int64_t Minimum,
                         int64_t Maximum) {
  return {{"type", "integer"},
          {"minimum", Minimum},
          {"maximum", Maximum},
          {"description", Description}};
}

inline Json choiceSchema(const std::string &Description, const Json &Choices) {
  return {{"enum", Choices}, {"description", Description}};
}

/// Schema of a name that is safe in URL paths and metric labels: at most 63
/// letters, digits, dots, underscores and hyphens.
inline Json nameSchema(const std::string &Description) {
  return {{"type", "string"},
          {"pattern", "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"},
          {"description", Description}};
}

/// Schema of a list with at least \p Minimum items.
inline Json listSchema(const std::string &Description, const Json &Items,
                       int Minimum) {
  return {{"type", "array"},
          {"minItems", Minimum},
          {"items", Items},
          {"description", Description}};
}

/// Schema of an object that has no other keys than \p Properties.
inline Json objectSchema(const std::string &Description, const Json &Required,
                         const Json &Properties) {
  return {{"type", "object"},
          {"description", Description},
          {"required", Required},
          {"additionalProperties", false},
          {"properties", Properties}};
}

} // namespace mimosashunt

#endif
