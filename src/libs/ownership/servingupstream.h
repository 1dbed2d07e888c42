#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>

namespace Ownership {

/// The upstream to which requests for a shard may be sent now, and the level that they carry.
struct ServingUpstream {
    Utils::UpstreamId upstream;
    GrantLevel level;

    bool operator==(const ServingUpstream&) const = default;
};

} // namespace Ownership
