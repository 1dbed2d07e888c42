#pragma once

#include <balancing/requestlimit.h>
#include <relay/limitnotice.h>
#include <utils/ids.h>

#include <set>
#include <unordered_map>

namespace Edge {

/// What upstreams take of the requests of all VMs together.
struct RequestLimits {
    /// Also limits that are no longer named, until the upstream ends.
    std::unordered_map<Utils::UpstreamId, Balancing::RequestLimit> byUpstream;
    /// Upstreams whose limits the relay source and the subscribers have not been told.
    std::set<Utils::UpstreamId> unsentToSource;
    std::set<Utils::UpstreamId> unsentToSubscribers;
    std::uint64_t delayedSends = 0;
    /// Budgets of upstreams that are cold or were.
    std::unordered_map<Utils::UpstreamId, Balancing::RequestLimit> coldBudgets;
    /// Times that a cold upstream was passed over or a request for it refused, as no send was left.
    std::uint64_t coldRefusals = 0;
};

} // namespace Edge
