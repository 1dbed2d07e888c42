#pragma once

#include <edge/ownanswer.h>
#include <platform/callerterms.h>
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
        , waitTimer(context)
    {
    }

    std::uint64_t id = 0;
    std::uint64_t caller = 0;
    /// Keeps the route alive.
    std::shared_ptr<const Routing::RouteTable> table;
    const Routing::Route* route = nullptr;
    const Routing::Service* service = nullptr;
    Platform::HttpRequest request;
    Platform::CallerTerms terms;
    std::uint64_t fingerprint = 0;
    Utils::Instant startedAt {};
    /// When the caller or the route gives up.
    Utils::Instant deadlineAt {};
    /// When the answer is late, counted from the caller's first attempt as far as that can be told.
    Utils::Instant targetAt {};
    /// The caller has tried before.
    bool cameBack = false;
    unsigned sent = 0;
    std::set<Utils::UpstreamId> tried;
    Utils::UpstreamId lastUpstream;
    /// An upstream may have run it.
    bool mayHaveRun = false;
    /// The upstream connection that it is sent on; 0 while there is none.
    std::uint64_t connection = 0;
    /// Waits for a holder of its key.
    bool parked = false;
    Utils::Instant parkedAt {};
    boost::asio::steady_timer deadlineTimer;
    boost::asio::steady_timer waitTimer;
};

} // namespace Edge
