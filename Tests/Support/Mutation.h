// Damages encoded messages for property tests of their decoders.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_MUTATION_H
#define MIMOSASHUNT_TESTS_SUPPORT_MUTATION_H

#include <rapidcheck.h>
#include <string>

namespace mimosashunt::test {

/// Returns arbitrary bytes, or \p Valid with one byte replaced, inserted or
/// removed, or cut off at some place. For use in a rapidcheck property.
inline std::string damaged(std::string Valid) {
  int Kind = *rc::gen::inRange(0, 5);
  if (Kind == 0 || Valid.empty())
    return *rc::gen::arbitrary<std::string>();
  size_t At = *rc::gen::inRange<size_t>(0, Valid.size());
  char Byte = *rc::gen::arbitrary<char>();
  if (Kind == 1)
    Valid.insert(At, 1, Byte);
  else if (Kind == 2)
    Valid.erase(At, 1);
  else if (Kind == 3)
    Valid.resize(At);
  else
    Valid[At] = Byte;
  return Valid;
}

} // namespace mimosashunt::test

#endif
