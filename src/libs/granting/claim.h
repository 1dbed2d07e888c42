#pragma once

#include <routing/keyspan.h>
#include <utils/ids.h>
#include <utils/time.h>

namespace Granting {

/// An upstream that may hold keys, by grants that were sent to it.
struct Claim {
    Routing::KeySpan span;
    Utils::UpstreamId upstream;
    /// It holds them no longer after this time unless it gets another grant.
    Utils::Instant until {};
};

} // namespace Granting
