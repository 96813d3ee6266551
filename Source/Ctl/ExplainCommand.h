// Prints what structured logs say of one id, in order of time, with the inputs
// that decided each step.

#ifndef MIMOSASHUNT_CTL_EXPLAINCOMMAND_H
#define MIMOSASHUNT_CTL_EXPLAINCOMMAND_H

#include <iosfwd>
#include <string>
#include <vector>

namespace mimosashunt {

/// Reads log lines from each of \p Inputs and writes the history of \p Id, a
/// job, worker or VM. Lines that are no JSON are passed over and counted at the
/// end. Returns false if nothing mentions the id.
bool explain(const std::string &Id, const std::vector<std::istream *> &Inputs,
             std::ostream &Out);

} // namespace mimosashunt

#endif
