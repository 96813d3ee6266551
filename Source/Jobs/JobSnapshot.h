// The encoding of the replicated state as a snapshot. Reads and writes one job
// after another, so that neither takes much more memory than the state itself.

#ifndef MIMOSASHUNT_JOBS_JOBSNAPSHOT_H
#define MIMOSASHUNT_JOBS_JOBSNAPSHOT_H

#include "Jobs/JobRecords.h"

#include <string>

namespace mimosashunt {

/// Returns the whole state as CBOR.
std::string encodeSnapshot(const JobStoreState &State);

/// Reads a snapshot, also of earlier versions. Returns false, with an
/// unspecified result, if the bytes hold no consistent state.
bool decodeSnapshot(const std::string &Bytes, JobStoreState &Result);

} // namespace mimosashunt

#endif
