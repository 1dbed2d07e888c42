#pragma once

#include <utils/ids.h>
#include <utils/time.h>

namespace Dispatch {

/// A shard that waits for works of it at its former upstream to end.
struct ShardMove {
    /// Where it goes.
    Utils::UpstreamId upstream;
    /// When it goes there all the same.
    Utils::Instant waitsUntil {};
};

} // namespace Dispatch
