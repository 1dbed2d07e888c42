#pragma once

#include <declarations/configuration.h>
#include <declarations/fault.h>
#include <declarations/origin.h>

#include <vector>

namespace Declarations {

/// Checks whether \a next may follow \a current: ownership is followed by the names of shards, so a key has
/// to stay in its shard and its pool. A key range of both keeps its service, bounds, shards and pool
/// (FaultCode::KeyRangeReshaped), and a key of a service in both does not change to a range of another name
/// (FaultCode::KeysChangeRange).
/// \param origins where each object of \a next was declared, for the faults' file and place.
std::vector<Fault> checkSuccession(
    const Configuration& current, const Configuration& next, const Origins& origins = {});

} // namespace Declarations
