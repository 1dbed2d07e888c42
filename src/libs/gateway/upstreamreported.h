#pragma once

#include <dispatch/upstreamcondition.h>
#include <utils/ids.h>

namespace Gateway {

/// Control to dispatch: what is known of an upstream's readiness.
struct UpstreamReported {
    Utils::PoolId pool;
    Utils::UpstreamId upstream;
    Dispatch::UpstreamCondition condition = Dispatch::UpstreamCondition::Usable;
};

} // namespace Gateway
