#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>
#include <map>

namespace Ownership {

/// States that a VM neither grants nor attests below \c level. If it was not requested (\c queryId is 0), the
/// VM hands the pool over.
struct StopResponse {
    Utils::PoolId pool;
    GrantLevel level;
    /// Query id of the request.
    std::uint64_t queryId = 0;
    /// The highest level known to the responding VM.
    GrantLevel highestKnownLevel;
    /// For each upstream, the maximum time for which a grant of this incarnation can be in force. An upstream
    /// that is missing holds no grant of it.
    std::map<Utils::UpstreamId, Utils::Duration> remainingGrantTimes;

    bool operator==(const StopResponse&) const = default;
};

} // namespace Ownership
