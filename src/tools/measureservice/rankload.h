#pragma once

#include <utils/ids.h>
#include <utils/time.h>

namespace Measure {

/// What the callers of one rank send.
struct RankLoad {
    Utils::RankId rank;
    /// Mean service time of one request.
    Utils::Duration service {};
    /// Offered load as a part of what the pool's slots can take, the way to the upstream and back included.
    double load = 0;
    /// Number of callers, each with an equal part of the load.
    unsigned callers = 1;
    bool idempotent = true;
};

} // namespace Measure
