#pragma once

#include <declarations/leasepolicy.h>
#include <ownership/guard.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <set>

namespace Ownership {

/// Parameters of a granter besides the assignment. They are fixed for one assignment record.
struct GranterOptions {
    Declarations::LeasePolicy leasePolicy;
    /// Upstreams that do not check grants.
    std::set<Utils::UpstreamId> upstreamsWithoutGrantChecks;
    /// Maximum time for which a request to such an upstream can be in flight.
    Utils::Duration maxTimeInFlight = std::chrono::seconds(30);
    /// Guards that are disabled. Empty in production; the explorer sets it.
    std::set<Guard> waivedGuards;

    bool operator==(const GranterOptions&) const = default;
};

} // namespace Ownership
