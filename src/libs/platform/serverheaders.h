#pragma once

#include <routing/reportedload.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <optional>
#include <string>

namespace Platform {

/// What a server said of itself and the request beside its answer.
struct ServerHeaders {
    /// The id that it echoes; empty if it gave none.
    Utils::RequestId requestId;
    /// The server that answered, where it says so; mostly when it is not the one that was meant.
    Utils::UpstreamId server;
    /// It states that the request has not run.
    bool notRun = false;
    std::optional<Routing::ReportedLoad> load;
    /// How long it keeps the connection open without use.
    std::optional<Utils::Duration> keepAliveTimeout;
    /// Proof of work on released keys, for their next holder.
    std::string handover;
    /// Whether the answer bears the server's signature.
    bool stamped = false;
};

} // namespace Platform
