#pragma once

#include <edge/call.h>
#include <edge/responseframing.h>
#include <metrics/counterfamily.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

namespace Edge {

/// HTTP calls in flight from this VM to the store and to upstreams, and the idle connections that they reuse.
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
    /// Handlers of pending asynchronous operations share ownership of their call, as they use its buffers.
    std::unordered_map<std::uint64_t, std::shared_ptr<Call>> calls;
    std::map<Routing::Endpoint, std::deque<IdleConnection>> idleConnections;
    Metrics::CounterFamily<ResponseFault, responseFaultNames.size()> invalidResponses;
};

/// Responses of the store may contain megabytes of records.
inline constexpr std::uint64_t maxStoreResponseBytes = 8ULL << 20;

/// Whether a call whose connection is lost before a response may be sent again.
enum class CallRepetition {
    /// If the request has the method GET.
    IfSafe,
    Never,
};

/// Which connection a call uses.
enum class CallConnection {
    /// An idle one of an earlier call, if there is one. A late second copy of that call's response would be
    /// taken for the one to this call.
    Reused,
    /// A new one, for calls whose outcome must not be mistaken.
    Own,
};

/// Sends \a request to \a endpoint and calls \a handler once, never before this returns.
/// \param timeout time until the complete response, including connecting.
/// \param maxResponseBytes limit of the response's body.
/// \return the id of the call.
std::uint64_t startCall(CallPool& pool, const Routing::Endpoint& endpoint, Platform::HttpRequest request,
    Utils::Duration timeout, CallHandler handler, std::uint64_t maxResponseBytes = maxStoreResponseBytes,
    CallRepetition repetition = CallRepetition::IfSafe, CallConnection connection = CallConnection::Reused);

/// Whether some of the call's request may have reached the other end. False if the call has finished.
bool isRequestSent(const CallPool& pool, std::uint64_t id);

/// Cancels a call without calling its handler. Does nothing if the call has finished.
void cancelCall(CallPool& pool, std::uint64_t id);

/// Closes the idle connections to \a endpoint; used when one connection to it has become unresponsive.
void closeIdleConnections(CallPool& pool, const Routing::Endpoint& endpoint);

} // namespace Edge
