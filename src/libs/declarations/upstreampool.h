#pragma once

#include <declarations/upstream.h>
#include <utils/ids.h>

#include <map>

namespace Declarations {

/// Upstreams of one region that share a dispatcher. A pool is the unit of dispatch and of assignment.
struct UpstreamPool {
    Utils::PoolId id;
    Utils::RegionId region;
    std::map<Utils::UpstreamId, Upstream> upstreams;

    bool operator==(const UpstreamPool&) const = default;
};

} // namespace Declarations
