#pragma once

#include <routing/keyspan.h>
#include <utils/time.h>

#include <cstdint>
#include <string>

namespace Platform {

/// Parameters of a call that grants keys to a server.
struct KeyGrant {
    Routing::KeySpan span;
    /// Fencing token.
    std::uint64_t token = 0;
    /// How long the server may serve the keys, from the arrival of the call.
    Utils::Duration keyLease {};
    /// Handover data from the previous holder's response to its release; empty if there is none.
    std::string handover;
};

} // namespace Platform
