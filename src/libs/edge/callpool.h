#pragma once

#include <edge/call.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

namespace Edge {

/// HTTP calls of this VM's own, to the store and to upstreams, on kept connections.
struct CallPool {
    explicit CallPool(boost::asio::io_context& context)
        : context(context)
    {
    }

    struct IdleConnection {
        Tcp::socket socket;
        Utils::Instant idleSince;
    };

    boost::asio::io_context& context;
    std::uint64_t lastId = 0;
    /// Handlers of pending operations share their call, whose buffers they use, until they have run.
    std::unordered_map<std::uint64_t, std::shared_ptr<Call>> calls;
    std::map<Routing::Endpoint, std::deque<IdleConnection>> idleConnections;
};

/// Sends \a request to \a endpoint and calls \a handler once, never before this returns.
/// \param timeout from now to the whole answer, connecting included.
/// \return the call's id.
std::uint64_t startCall(CallPool& pool, const Routing::Endpoint& endpoint, Platform::HttpRequest request,
    Utils::Duration timeout, CallHandler handler);

/// Ends a call without calling its handler, if it is still under way.
void cancelCall(CallPool& pool, std::uint64_t id);

/// Closes what is idle to \a endpoint; used when one of its connections went silent.
void closeIdleConnections(CallPool& pool, const Routing::Endpoint& endpoint);

} // namespace Edge
