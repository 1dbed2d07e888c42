#pragma once

#include <declarations/idempotencypolicy.h>
#include <declarations/rank.h>
#include <declarations/upstream.h>
#include <dispatch/dispatchcaps.h>
#include <utils/ids.h>

#include <map>

namespace Dispatch {

/// What the configuration says of one pool.
struct DispatchOptions {
    std::map<Utils::RankId, Declarations::Rank> ranks;
    std::map<Utils::UpstreamId, Declarations::Upstream> upstreams;
    /// For services that \c serviceIdempotency doesn't name.
    Declarations::IdempotencyPolicy idempotency;
    std::map<Utils::ServiceId, Declarations::IdempotencyPolicy> serviceIdempotency;
    DispatchCaps caps;
};

} // namespace Dispatch
