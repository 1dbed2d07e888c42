#pragma once

#include <routing/keyspan.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>

namespace Granting {

/// An upstream that may hold keys because of grants that were sent to it.
struct PossibleHolder {
    Routing::KeySpan span;
    Utils::UpstreamId upstream;
    /// Highest token of the grants that were sent to it; 0 if a former leader sent them.
    std::uint64_t token = 0;
    /// When its key lease expires at the latest, by the grants that it accepted or left unanswered.
    Utils::Instant leaseExpiry {};
    /// The same for a grant in flight, which may arrive as late as its timeout permits.
    Utils::Instant pendingLeaseExpiry {};
};

} // namespace Granting
