#pragma once

#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>
#include <string>

namespace Requests {

/// The system's number of one request on one dispatcher.
using WorkId = Utils::Id<struct WorkTag, std::uint64_t>;

/// What a dispatcher decides by; the request's bytes stay with the threads that carry them.
struct Work {
    WorkId id;
    Utils::ServiceId service;
    Utils::ShardId shard;
    Utils::RankId rank;
    /// Who asks, for fair sharing within a rank.
    std::string caller;
    /// When the answer is due, on the dispatcher's clock.
    Utils::Instant deadline;
    bool idempotent = true;
    /// The caller's id; empty on idempotent requests that carry none.
    Utils::RequestId requestId;
    /// 1 for the caller's first sending.
    unsigned attempt = 1;
    /// Digest of method, target and body, to recognise poison under another id.
    std::uint64_t contentDigest = 0;
    /// Size of the request's body in bytes.
    std::uint64_t bodyBytes = 0;
};

} // namespace Requests
