// Prints the events of one job, worker or VM from structured logs in
// chronological order, with the fields that explain each decision.

#ifndef MIMOSASHUNT_CTL_EXPLAINCOMMAND_H
#define MIMOSASHUNT_CTL_EXPLAINCOMMAND_H

#include <iosfwd>
#include <string>
#include <vector>

namespace mimosashunt {

/// Reads log lines from \p Inputs and writes the history of \p Id, the id of a
/// job, worker or VM, to \p Out. Lines that are not log events are skipped, and
/// their number is printed at the end. Returns false if no event mentions the
/// id.
bool explain(const std::string &Id, const std::vector<std::istream *> &Inputs,
             std::ostream &Out);

} // namespace mimosashunt

#endif
