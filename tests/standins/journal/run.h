#pragma once

#include <utils/ids.h>

#include <cstdint>
#include <string>

namespace Journal {

/// One run of a request on an upstream.
struct Run {
    std::string upstream;
    Utils::Incarnation incarnation = 0;
    std::string requestId;
    std::string request;
    unsigned attempt = 0;
    std::string idempotencyKey;
    std::string method;
    Utils::ShardId shard;
    /// Wall clock in microseconds; \c endedAt is 0 while it never ended.
    std::int64_t startedAt = 0;
    std::int64_t endedAt = 0;
    /// Withdrawn before it had any effect.
    bool cancelled = false;
};

} // namespace Journal
