#pragma once

#include <routing/keyspan.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>
#include <string>

namespace Granting {

/// A call that the leader makes to an upstream to grant it keys or to have it release them.
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
    /// Duration of the key lease, counted from the arrival of the grant. Unused for a release.
    Utils::Duration keyLease {};
    /// Handover data that the previous holder returned on release. Unused for a release.
    std::string handover;
};

} // namespace Granting
