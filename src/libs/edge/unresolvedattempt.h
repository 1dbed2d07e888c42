#pragma once

#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>

namespace Edge {

/// An attempt that this VM gave up. Its upstream may have crashed during it, which shows only later.
struct UnresolvedAttempt {
    Utils::UpstreamId upstream;
    std::uint64_t fingerprint = 0;
    Utils::Instant sentAt {};
    Utils::Instant endedAt {};
};

} // namespace Edge
