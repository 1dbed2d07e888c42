#pragma once

#include <routing/keyspan.h>
#include <utils/time.h>

#include <cstdint>
#include <string>

namespace Platform {

/// What a server is told about keys that it is to hold.
struct KeyGrant {
    Routing::KeySpan span;
    /// Fencing token.
    std::uint64_t token = 0;
    /// Counts from the call's arrival.
    Utils::Duration keyLease {};
    /// What the former holder gave on release; empty if there is none.
    std::string handover;
};

} // namespace Platform
