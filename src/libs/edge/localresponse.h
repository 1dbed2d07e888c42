#pragma once

#include <edge/localresponsereason.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Edge {

using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Content of an error response that this VM generates instead of forwarding that of an upstream.
struct LocalResponse {
    LocalResponseReason reason = LocalResponseReason::NoUpstream;
    /// Whether some upstream may have run the request; the outcome is then unknown.
    bool mayHaveRun = false;
    /// Value of Retry-After; zero omits the header.
    Utils::Duration retryAfter {};
};

/// Returns the HTTP status. 503 is used only if the request has not run and will not run.
unsigned statusFor(const LocalResponse& localResponse);

HttpResponse makeLocalResponse(const LocalResponse& localResponse, const Utils::RequestId& requestId);

} // namespace Edge
