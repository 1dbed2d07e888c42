#pragma once

#include <requests/linklane.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <map>

namespace Requests {

/// This VM's part of one direction of a metered region link.
struct LinkBudget {
    /// Bits a second of all ranks together.
    double bitsPerSecond = 0;
    std::map<Utils::RankId, LinkLane> lanes;
    /// Bits that no rank has been promised, or that ranks left unused; any rank may take them.
    LinkLane shared;
};

} // namespace Requests
