#include <edge/bodyintake.h>
#include <edge/callerclosure.h>
#include <edge/callerresponses.h>
#include <edge/exchanges.h>

#include <boost/asio/buffer.hpp>

#include <poll.h>

#include <utility>
#include <vector>

namespace Edge {

namespace Internal {

using ErrorCode = boost::system::error_code;

/// Interval of the checks of a connection that has unread bytes, where a read can't show its end.
constexpr Utils::Duration unreadCheckInterval = std::chrono::milliseconds(100);
/// Delay between the first two interim responses to a caller that may have left; doubled for each further
/// one. The first one makes the caller's end reset the connection, the second one fails.
constexpr Utils::Duration firstProbeDelay = std::chrono::milliseconds(25);
/// Time for which a connection is read after its last response.
constexpr Utils::Duration lingerTimeout = std::chrono::seconds(1);

void probeCaller(Node& node, const std::shared_ptr<CallerConnection>& caller, Utils::Duration delay)
{
    writeInterimResponse(node, caller, "HTTP/1.1 102 Processing\r\n\r\n");
    startTimer(caller->probeTimer, delay, [&node, caller, delay] {
        if (isOpen(node, *caller) && !caller->requests.empty())
            probeCaller(node, caller, delay * 2);
    });
}

/// Whether the caller may have closed only its sending side.
bool canProbe(const CallerConnection& caller)
{
    return !caller.isPeer && caller.requests.front().acceptsInterimResponses;
}

/// Handles that the caller sends nothing more, though bytes may still have to be read.
void handleCallerClosed(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    if (std::exchange(caller->hasCallerClosed, true))
        return;
    if (canProbe(*caller))
        probeCaller(node, caller, firstProbeDelay);
    else
        disconnectCaller(node, caller);
}

void checkUnreadConnection(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    startTimer(caller->probeTimer, unreadCheckInterval, [&node, caller] {
        if (!isOpen(node, *caller) || caller->requests.empty() || caller->isReadPending)
            return;
        pollfd polled { caller->socket.native_handle(), POLLRDHUP, 0 };
        ::poll(&polled, 1, 0);
        if (polled.revents & (POLLERR | POLLHUP))
            disconnectCaller(node, caller);
        else if (polled.revents & POLLRDHUP)
            handleCallerClosed(node, caller);
        else
            checkUnreadConnection(node, caller);
    });
}

} // namespace Internal

void discardInput(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    constexpr std::size_t chunkBytes = 4096;
    caller->buffer.clear();
    caller->socket.async_read_some(
        caller->buffer.prepare(chunkBytes), [&node, caller](const Internal::ErrorCode& error, std::size_t) {
            if (!isOpen(node, *caller))
                return;
            if (error)
                closeCaller(node, *caller);
            else
                discardInput(node, caller);
        });
}

bool isOpen(const Node& node, const CallerConnection& caller)
{
    return node.traffic.callerConnections.contains(caller.id);
}

void closeCaller(Node& node, CallerConnection& caller)
{
    Internal::ErrorCode ignored;
    for (GuardedTimer* timer : { &caller.readTimer, &caller.writeTimer, &caller.probeTimer })
        cancelTimer(*timer);
    for (CallerRequest& request : caller.requests)
        node.traffic.responseBytes -= std::exchange(request.responseBytes, 0);
    caller.socket.close(ignored);
    releaseBodyIntake(node, caller);
    node.traffic.callerConnections.erase(caller.id);
}

void disconnectCaller(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    node.counters.callersDisconnected += caller->requests.empty() ? 0 : 1;
    closeCaller(node, *caller);
    std::vector<std::uint64_t> exchangeIds;
    for (const CallerRequest& request : caller->requests)
        exchangeIds.push_back(request.exchangeId);
    for (const std::uint64_t exchangeId : exchangeIds)
        cancelExchange(node, exchangeId);
}

void handleEndOfInput(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    caller->readState = CallerReadState::Ended;
    cancelTimer(caller->readTimer);
    if (caller->requests.empty())
        closeCaller(node, *caller);
    else
        Internal::handleCallerClosed(node, caller);
}

void watchForDisconnect(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    if (caller->hasCallerClosed || std::exchange(caller->isWatching, true))
        return;
    caller->socket.async_wait(Tcp::socket::wait_read, [&node, caller](const Internal::ErrorCode& error) {
        caller->isWatching = false;
        if (error || !isOpen(node, *caller) || caller->requests.empty() || caller->isReadPending)
            return;
        char byte = 0;
        const ssize_t received = ::recv(caller->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (received == 0)
            handleEndOfInput(node, caller);
        else if (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
            disconnectCaller(node, caller);
        else
            Internal::checkUnreadConnection(node, caller);
    });
}

void closeAfterResponse(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    Internal::ErrorCode ignored;
    caller->socket.shutdown(Tcp::socket::shutdown_send, ignored);
    if (caller->hasCallerClosed) {
        closeCaller(node, *caller);
        return;
    }
    caller->isLingering = true;
    cancelTimer(caller->probeTimer);
    startTimer(caller->readTimer, Internal::lingerTimeout, [&node, caller] {
        if (isOpen(node, *caller))
            closeCaller(node, *caller);
    });
    // A read in progress would share the buffer; its end begins to discard.
    if (!caller->isReadPending)
        discardInput(node, caller);
}

} // namespace Edge
