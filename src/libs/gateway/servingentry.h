#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>
#include <utils/time.h>

namespace Gateway {

/// Where a shard's requests go, and until when that is known to hold.
struct ServingEntry {
    Utils::UpstreamId upstream;
    Ownership::GrantLevel level;
    Utils::Instant validUntil {};
};

} // namespace Gateway
