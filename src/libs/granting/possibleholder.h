#pragma once

#include <routing/keyspan.h>
#include <utils/ids.h>
#include <utils/time.h>

namespace Granting {

/// An upstream that may hold keys, by grants that were sent to it.
struct PossibleHolder {
    Routing::KeySpan span;
    Utils::UpstreamId upstream;
    /// It holds them no longer after this time by the grants that it has answered, or left unanswered.
    Utils::Instant leaseExpiry {};
    /// The same for a grant whose answer is awaited: it may have arrived late.
    Utils::Instant pendingLeaseExpiry {};
};

} // namespace Granting
