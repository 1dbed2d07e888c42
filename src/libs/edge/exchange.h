#pragma once

#include <edge/forwardedrequest.h>
#include <edge/guardedtimer.h>
#include <edge/localresponse.h>
#include <platform/callerheaders.h>
#include <platform/storecalls.h>
#include <routing/reportedload.h>
#include <routing/routetable.h>
#include <utils/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Edge {

/// A caller's request in flight, with the state of its attempts.
struct Exchange {
    explicit Exchange(boost::asio::io_context& context)
        : deadlineTimer(context)
        , holderWaitTimer(context)
        , forwardTimer(context)
    {
    }

    std::uint64_t id = 0;
    std::uint64_t callerId = 0;
    /// Keeps the objects that route and service point to alive.
    std::shared_ptr<const Routing::RouteTable> routeTable;
    const Routing::Route* route = nullptr;
    const Routing::Service* service = nullptr;
    Platform::HttpRequest request;
    Platform::CallerHeaders callerHeaders;
    /// Memory that is reserved for the body of the request.
    std::uint64_t reservedBodyBytes = 0;
    std::uint64_t fingerprint = 0;
    Utils::Instant startedAt {};
    /// Earlier of the caller's deadline and the route's timeout.
    Utils::Instant deadlineAt {};
    /// The deadline is that of a stop of this VM, after which it can't be answered. Caller and route allow
    /// longer.
    bool isDeadlineOfStop = false;
    /// When the target latency of the route is exceeded, measured from the caller's first attempt if that can
    /// be estimated.
    Utils::Instant targetAt {};
    /// Whether the caller has sent this request before.
    bool isCallerRetry = false;
    /// Whether the request had to wait for others of its connection.
    bool hasWaitedForTurn = false;
    unsigned attemptCount = 0;
    /// Attempts that ended without a connection; they sent the request to no upstream.
    unsigned unconnectedAttemptCount = 0;
    std::set<Utils::UpstreamId> triedUpstreams;
    Utils::UpstreamId lastUpstream;
    /// When the last attempt was started.
    Utils::Instant attemptStartedAt {};
    /// The load that came with the response to the last attempt.
    std::optional<Routing::ReportedLoad> lastReportedLoad;
    /// When the store or another upstream showed that the upstream of the current attempt has ended, unless
    /// the attempt has been counted as its crash.
    std::optional<Utils::Instant> upstreamVanishedAt;
    /// The upstream for which a send within its limit has been reserved; empty if there is none.
    Utils::UpstreamId reservedUpstream;
    /// Whether some upstream may have run the request.
    bool mayHaveRun = false;
    /// The upstream connection of the current attempt; 0 if there is none.
    std::uint64_t connectionId = 0;
    /// Set if another VM has forwarded the request to this one.
    std::optional<ForwardedRequest> forwarded;
    /// The call that forwards the request to the VM at \c peer; 0 if there is none.
    std::uint64_t peerCallId = 0;
    std::string peer;
    /// Number of attempts that VM may make.
    unsigned forwardedAttempts = 0;
    /// The scope in which the exchange waits for room; empty if it does not.
    std::string queueScope;
    /// The scope in which it has a place at an upstream; empty if it has none.
    std::string placeScope;
    /// Whether it has waited and may be sent now.
    bool hasLeftQueue = false;
    /// Whether the exchange waits for a holder of its key that can serve it.
    bool isWaitingForHolder = false;
    Utils::Instant waitingForHolderSince {};
    GuardedTimer deadlineTimer;
    GuardedTimer holderWaitTimer;
    /// Expires when the request may be given to a third VM.
    GuardedTimer forwardTimer;
};

} // namespace Edge
