#pragma once

#include <placement/dispatchinput.h>

namespace Placement {

/// Chooses dispatcher and successor of every pool: the dispatcher in the pool's region, the successor in
/// another availability zone, both where there is such a VM. A VM that has a duty keeps it unless it has more
/// than its even share and the slack; the others go by rendezvous hashing to VMs below that bound. Gives no
/// pair when there is no VM.
std::map<Utils::PoolId, DispatchPair> chooseDispatchers(const DispatchInput& input);

} // namespace Placement
