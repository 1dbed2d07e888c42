#pragma once

#include "rankload.h"
#include "upstreamfault.h"

#include <string>
#include <vector>

namespace Measure {

/// One load on the pool.
struct Scenario {
    std::string name;
    std::vector<RankLoad> loads;
    UpstreamFault fault = UpstreamFault::None;
};

} // namespace Measure
