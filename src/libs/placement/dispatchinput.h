#pragma once

#include <placement/dispatchpair.h>
#include <placement/vmcandidate.h>
#include <utils/ids.h>

#include <map>
#include <vector>

namespace Placement {

/// What the dispatchers of all pools are chosen by.
struct DispatchInput {
    /// Region of each pool.
    std::map<Utils::PoolId, Utils::RegionId> pools;
    std::vector<VmCandidate> vms;
    /// The pairs that the pools have now.
    std::map<Utils::PoolId, DispatchPair> present;
};

} // namespace Placement
