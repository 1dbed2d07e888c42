#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>

namespace Ownership {

/// Where a request for a shard may be sent now, and the level that it carries.
struct ServingUpstream {
    Utils::UpstreamId upstream;
    GrantLevel level;

    bool operator==(const ServingUpstream&) const = default;
};

} // namespace Ownership
