#pragma once

#include <edge/localresponse.h>
#include <platform/callerheaders.h>
#include <platform/storecalls.h>
#include <routing/routetable.h>
#include <utils/time.h>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <set>

namespace Edge {

/// One request on its way.
struct Exchange {
    explicit Exchange(boost::asio::io_context& context)
        : deadlineTimer(context)
        , holderWaitTimer(context)
    {
    }

    std::uint64_t id = 0;
    std::uint64_t callerId = 0;
    /// Keeps the route alive.
    std::shared_ptr<const Routing::RouteTable> routeTable;
    const Routing::Route* route = nullptr;
    const Routing::Service* service = nullptr;
    Platform::HttpRequest request;
    Platform::CallerHeaders callerHeaders;
    std::uint64_t fingerprint = 0;
    Utils::Instant startedAt {};
    /// When the caller or the route gives up.
    Utils::Instant deadlineAt {};
    /// When the answer is late, counted from the caller's first attempt as far as that can be told.
    Utils::Instant targetAt {};
    /// The caller has tried before.
    bool isCallerRetry = false;
    unsigned attemptCount = 0;
    std::set<Utils::UpstreamId> triedUpstreams;
    Utils::UpstreamId lastUpstream;
    /// An upstream may have run it.
    bool mayHaveRun = false;
    /// The upstream connection that it is sent on; 0 while there is none.
    std::uint64_t connectionId = 0;
    /// Waits for a holder of its key.
    bool isWaitingForHolder = false;
    Utils::Instant waitingForHolderSince {};
    boost::asio::steady_timer deadlineTimer;
    boost::asio::steady_timer holderWaitTimer;
};

} // namespace Edge
