#pragma once

#include <routing/keyspan.h>
#include <utils/ids.h>

#include <cstdint>
#include <vector>

namespace Granting {

/// Keys next to one another with one rightful holder.
struct Segment {
    Routing::KeySpan span;
    /// Empty while there is none.
    Utils::UpstreamId holder;
    /// The holder has confirmed the grant.
    bool isConfirmed = false;
    /// Fencing token of the holder's grant; 0 before the first.
    std::uint64_t token = 0;
    /// Those that may still hold keys of the span and are not the holder.
    std::vector<Utils::UpstreamId> previousHolders;

    bool operator==(const Segment&) const = default;
};

} // namespace Granting
