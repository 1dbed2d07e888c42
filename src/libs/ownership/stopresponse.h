#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>
#include <map>

namespace Ownership {

/// A VM states that it grants and attests nothing below \c level. Unasked (\c ask 0) it hands the pool over.
struct StopResponse {
    Utils::PoolId pool;
    GrantLevel level;
    /// Ask id of the request.
    std::uint64_t queryId = 0;
    /// The highest level that the answering VM knows.
    GrantLevel highestKnownLevel;
    /// For each upstream, the longest time that anything this start granted it can still be in force. An
    /// upstream that is missing holds nothing of it.
    std::map<Utils::UpstreamId, Utils::Duration> remainingGrantTimes;

    bool operator==(const StopResponse&) const = default;
};

} // namespace Ownership
