#pragma once

#include <routing/keyspan.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>

namespace Granting {

/// An upstream that may hold keys because of grants that were sent to it.
struct PossibleHolder {
    Routing::KeySpan span;
    /// Keys of the grant; releases may have left a part of them.
    Routing::KeySpan grantedSpan;
    Utils::UpstreamId upstream;
    /// Highest token of the grants that were sent to it; 0 if a former leader sent them.
    std::uint64_t token = 0;
    /// When its key lease expires at the latest, by the grants that it accepted or left unanswered.
    Utils::Instant leaseExpiry {};
    /// The same for a grant in flight that arrives within its timeout; empty if there is none. A slow VM may
    /// send it later.
    Utils::Instant pendingLeaseExpiry {};
    /// When its key lease expires at the latest if grants without a response arrive after their calls ended.
    Utils::Instant delayedLeaseExpiry {};
};

} // namespace Granting
