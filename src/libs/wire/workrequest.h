#pragma once

#include <utils/ids.h>
#include <utils/time.h>
#include <wire/httpheader.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Wire {

/// Entry to dispatcher: run this request.
struct WorkRequest {
    /// The entry's number of the request on this link.
    std::uint64_t request = 0;
    Utils::PoolId pool;
    /// The assignment by which the entry chose the dispatcher.
    Utils::Offset token = 0;
    Utils::ServiceId service;
    Utils::ShardId shard;
    Utils::RankId rank;
    std::string caller;
    /// Time left when the message was sent.
    Utils::Duration timeout {};
    bool idempotent = true;
    Utils::RequestId requestId;
    unsigned attempt = 1;
    std::string method;
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;

    bool operator==(const WorkRequest&) const = default;
};

} // namespace Wire
