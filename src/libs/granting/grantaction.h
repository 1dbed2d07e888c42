#pragma once

#include <routing/keyspan.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>
#include <string>

namespace Granting {

/// A call that the leader makes to an upstream.
struct GrantAction {
    enum class Kind {
        Grant,
        Release,
    };

    Kind kind = Kind::Grant;
    Utils::ServiceId service;
    Utils::UpstreamId upstream;
    Routing::KeySpan span;
    /// First key of the segment that the call is made for.
    std::uint16_t segmentFirstKey = 0;
    std::uint64_t token = 0;
    /// For a grant: how long the keys are held from its arrival on.
    Utils::Duration keyLease {};
    /// For a grant: what the former holder gave.
    std::string handover;
};

} // namespace Granting
