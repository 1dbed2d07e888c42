#pragma once

#include <declarations/leasepolicy.h>
#include <ownership/guard.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <set>

namespace Ownership {

/// What a granter is told about its pool besides the assignment. Fixed for one assignment record.
struct GranterOptions {
    Declarations::LeasePolicy leasePolicy;
    /// Upstreams that check no grants.
    std::set<Utils::UpstreamId> upstreamsWithoutGrantChecks;
    /// Longest time that a request to such an upstream can still be in flight.
    Utils::Duration maxTimeInFlight = std::chrono::seconds(30);
    /// Guards left out. Empty in production; the explorer fills it.
    std::set<Guard> waivedGuards;

    bool operator==(const GranterOptions&) const = default;
};

} // namespace Ownership
