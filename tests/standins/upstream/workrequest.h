#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace StandInUpstream {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// A request for work, read from its target and headers.
struct WorkRequest {
    std::string method;
    std::string key;
    Utils::ShardId shard;
    /// Level of the sender, if it named one.
    std::optional<Ownership::GrantLevel> level;
    /// The system's id.
    std::string requestId;
    /// The caller's number of the request and of the sending, for the journal.
    std::string request;
    unsigned attempt = 0;
    std::string idempotencyKey;
    std::string rank;
    /// Time left at the sender, if it named one.
    std::optional<std::chrono::milliseconds> timeLeft;
    std::uint64_t bodyDigest = 0;
    /// Bytes of pattern asked for; nothing asks for the echo.
    std::optional<std::uint64_t> answerBytes;
    /// Whether it carries the crash marker.
    bool crashes = false;
};

WorkRequest workRequestFrom(const HttpRequest& request);

} // namespace StandInUpstream
