#pragma once

#include <routing/keyspan.h>
#include <utils/ids.h>

#include <cstdint>
#include <vector>

namespace Granting {

/// A contiguous span of keys assigned to one holder.
struct Segment {
    Routing::KeySpan span;
    /// Empty while there is none.
    Utils::UpstreamId holder;
    /// Whether the holder has accepted its grant.
    bool isConfirmed = false;
    /// Fencing token of the holder's grant; 0 before the first.
    std::uint64_t token = 0;
    /// Upstreams other than the holder that may still hold keys of the span.
    std::vector<Utils::UpstreamId> previousHolders;

    bool operator==(const Segment&) const = default;
};

} // namespace Granting
