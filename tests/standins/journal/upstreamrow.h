#pragma once

#include <standins/journal/upstreamevent.h>

#include <ownership/grantlevel.h>
#include <utils/ids.h>

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace Journal {

/// One row of an upstream's journal.
struct UpstreamRow {
    /// Wall clock in microseconds.
    std::int64_t at = 0;
    UpstreamEvent event = UpstreamEvent::Started;
    std::string upstream;
    Utils::Incarnation incarnation = 0;
    /// Level of the grant, fence or request.
    Ownership::GrantLevel level;
    /// Grants: what is held, and until when by the wall clock, in microseconds.
    std::set<Utils::ShardId> shards;
    std::int64_t until = 0;
    /// Requests: the caller's number of the request and of the sending.
    std::string request;
    unsigned attempt = 0;
    /// Requests: the system's id of it, and the caller's.
    std::string requestId;
    std::string idempotencyKey;
    std::string method;
    std::string rank;
    Utils::ShardId shard;
    std::string key;
    /// Refusals.
    std::string reason;

    bool operator==(const UpstreamRow&) const = default;
};

boost::json::object toJson(const UpstreamRow& row);

/// The row that \a object tells; nothing when it isn't one.
std::optional<UpstreamRow> upstreamRowFrom(const boost::json::object& object);

} // namespace Journal
