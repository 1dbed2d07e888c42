#pragma once

#include <edge/localresponse.h>

#include <cstdint>
#include <optional>

namespace Edge {

/// A request on a caller's connection, from its arrival until its response has been written.
struct CallerRequest {
    /// The request's exchange, also after it has ended; 0 if the request was malformed.
    std::uint64_t exchangeId = 0;
    /// Whether the request may run while others of the connection do.
    bool isIdempotent = true;
    /// Whether the response ends with its header, as that to HEAD does.
    bool expectsNoBody = false;
    /// Whether the exchange has begun to look for an upstream.
    bool isStarted = false;
    /// Whether the connection may stay open after the response.
    bool keepAlive = true;
    /// Whether the caller understands interim responses.
    bool acceptsInterimResponses = true;
    /// Set from the end of the exchange on.
    std::optional<HttpResponse> response;
    /// Memory of the body of that response.
    std::size_t responseBytes = 0;
};

} // namespace Edge
