#pragma once

#include <utils/time.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace StandInCaller {

/// A request as the schedule fixes it.
struct PlannedRequest {
    /// When it is due, from the start of the run.
    Utils::Duration due {};
    std::string method = "GET";
    /// Path and query.
    std::string target;
    std::string rank;
    std::string caller;
    /// Bytes of the answer (GET, HEAD) or of the body (others); 0 asks for the echo or sends a short body.
    std::uint64_t bytes = 0;
    std::chrono::milliseconds timeout { 0 };

    bool operator==(const PlannedRequest&) const = default;
};

/// Whether the request may run twice without harm.
inline bool isIdempotent(const PlannedRequest& request)
{
    return request.method != "POST" && request.method != "PATCH";
}

/// Whether \c bytes are those of the answer.
inline bool asksForBytes(const PlannedRequest& request)
{
    return request.bytes > 0 && (request.method == "GET" || request.method == "HEAD");
}

} // namespace StandInCaller
