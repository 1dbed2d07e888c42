#pragma once

#include <declarations/configuration.h>
#include <declarations/fault.h>
#include <declarations/origin.h>

#include <vector>

namespace Declarations {

/// Checks whether \a next may follow \a current. Ownership is followed by the names of shards, so a key range
/// of both keeps its service, its bounds and its number of shards (FaultCode::KeyRangeReshaped). It may
/// change its pool, and its keys may turn up in a range of another name: the log's fold holds such shards
/// back until their former owners have been settled. \param origins where each object of \a next was
/// declared, for the faults' file and place.
std::vector<Fault> checkSuccession(
    const Configuration& current, const Configuration& next, const Origins& origins = {});

} // namespace Declarations
