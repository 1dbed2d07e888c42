#pragma once

#include <placement/dispatchpair.h>
#include <placement/vmcandidate.h>
#include <utils/ids.h>

#include <vector>

namespace Placement {

/// In which order VMs propose the next assignment of \a pool, each waiting a little for those before it: the
/// dispatcher, the successor, then the others by rendezvous hashing. The order only avoids races; the log
/// settles them.
std::vector<Agreement::VmStart> proposerOrder(
    const Utils::PoolId& pool, const DispatchPair& present, const std::vector<VmCandidate>& vms);

} // namespace Placement
