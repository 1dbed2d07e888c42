#pragma once

#include <platform/decodeerror.h>
#include <routing/reportedload.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <optional>
#include <string>

namespace Platform {

/// Values of the platform's headers in a server's response.
struct ServerHeaders {
    /// Request id that the server echoes; empty if absent.
    Utils::RequestId requestId;
    /// The server that responded; empty if absent. Servers mostly send it when they are not the expected one.
    Utils::UpstreamId server;
    /// The server states that the request was not executed. True as well for status 421 (Misdirected
    /// Request).
    bool notRun = false;
    std::optional<Routing::ReportedLoad> load;
    /// Why the load in the response could not be used.
    std::optional<DecodeError> loadError;
    /// For how long the server remains cold.
    std::optional<Utils::Duration> remainingColdTime;
    /// Why that time could not be used.
    std::optional<DecodeError> coldTimeError;
    /// Requests per second that the server takes from all VMs together; it may be zero. Sent in every
    /// response for as long as it applies.
    std::optional<double> requestLimit;
    /// Why the limit in the response could not be used.
    std::optional<DecodeError> requestLimitError;
    /// The server is leaving and takes new requests only for the platform's drain time.
    bool isLeaving = false;
    /// For how long the server wants no requests from this VM. Read from responses with status 503 only.
    std::optional<Utils::Duration> pause;
    /// Why the pause in the response could not be used.
    std::optional<DecodeError> pauseError;
    /// How long the server keeps an idle connection open.
    std::optional<Utils::Duration> keepAliveTimeout;
    /// Proof of the requests executed on released keys, for their next holder.
    std::string handover;
    /// The response carries the server's signature.
    bool isStamped = false;
};

} // namespace Platform
