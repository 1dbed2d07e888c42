#pragma once

#include <edge/localresponsereason.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Edge {

using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// What an answer of this VM's own says.
struct LocalResponse {
    LocalResponseReason reason = LocalResponseReason::NoUpstream;
    /// Whether some upstream may have run the request; then no promise is made.
    bool mayHaveRun = false;
    /// When the caller may come back; zero says nothing.
    Utils::Duration retryAfter {};
};

/// The status that tells the caller what it may conclude: 503 only when the request has not run and will not.
unsigned statusFor(const LocalResponse& answer);

HttpResponse makeLocalResponse(const LocalResponse& answer, const Utils::RequestId& request);

} // namespace Edge
