#include <edge/callerclosure.h>
#include <edge/callerresponses.h>
#include <edge/callers.h>
#include <edge/clock.h>
#include <edge/exchanges.h>
#include <edge/requestlog.h>
#include <edge/responsememory.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <string_view>

namespace Edge {

namespace http = boost::beast::http;

namespace Internal {

using ErrorCode = boost::system::error_code;

/// Timeout for writing a response to a caller.
constexpr Utils::Duration responseWriteTimeout = std::chrono::seconds(20);

void armWriteTimer(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    caller->writingSince = now();
    startTimer(caller->writeTimer, responseWriteTimeout, [&node, caller] {
        if (isOpen(node, *caller))
            disconnectCaller(node, caller);
    });
}

/// A caller sends requests behind a closing response again, whatever their kind. So only a response behind
/// which nothing has been read closes the connection.
bool closesConnection(const Node& node, CallerConnection& caller)
{
    const bool isLast = caller.requests.size() == 1;
    if (!isLast)
        return false;
    if (!caller.requests.front().keepAlive || caller.readState == CallerReadState::Ended)
        return true;
    return node.stopping && !hasBegunRequest(caller);
}

void setResponse(Node& node, const std::shared_ptr<CallerConnection>& caller, CallerRequest& request,
    HttpResponse response)
{
    request.response.emplace(std::move(response));
    // Its length stays that of the body which would follow.
    if (request.expectsNoBody)
        request.response->body().clear();
    request.responseBytes = request.response->body().capacity();
    node.traffic.responseBytes += request.responseBytes;
    // Exchanges of other callers must not end here: they may be what is being processed.
    if (isResponseMemoryExceeded(node))
        boost::asio::post(node.context, [&node] { disconnectStalledCallers(node); });
    writeNextResponse(node, caller);
}

void handleResponseWritten(
    Node& node, const std::shared_ptr<CallerConnection>& caller, const ErrorCode& error)
{
    caller->isWriting = false;
    if (!isOpen(node, *caller))
        return;
    cancelTimer(caller->writeTimer);
    if (error) {
        disconnectCaller(node, caller);
        return;
    }
    CallerRequest& request = caller->requests.front();
    const bool keepAlive = request.response->keep_alive();
    node.traffic.responseBytes -= std::exchange(request.responseBytes, 0);
    caller->requests.pop_front();
    if (!keepAlive) {
        closeAfterResponse(node, caller);
        return;
    }
    startDueRequests(node, caller);
    readRequest(node, caller);
    sendContinueIfDue(node, caller);
    writeNextResponse(node, caller);
}

} // namespace Internal

void respondToCaller(Node& node, std::uint64_t id, std::uint64_t exchangeId, HttpResponse response)
{
    const auto found = node.traffic.callerConnections.find(id);
    if (found == node.traffic.callerConnections.end())
        return;
    const std::shared_ptr<CallerConnection> caller = found->second;
    const auto request = std::find_if(caller->requests.begin(), caller->requests.end(),
        [exchangeId](const CallerRequest& candidate) { return candidate.exchangeId == exchangeId; });
    if (request == caller->requests.end())
        return;
    Internal::setResponse(node, caller, *request, std::move(response));
    startDueRequests(node, caller);
}

void respondToMalformedRequest(
    Node& node, const std::shared_ptr<CallerConnection>& caller, HttpResponse response)
{
    caller->readState = CallerReadState::Ended;
    cancelTimer(caller->readTimer);
    CallerRequest& request = caller->requests.emplace_back();
    request.isStarted = true;
    request.keepAlive = false;
    Internal::setResponse(node, caller, request, std::move(response));
    watchForDisconnect(node, caller);
}

void writeNextResponse(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    if (caller->isWriting || caller->requests.empty() || !caller->requests.front().response)
        return;
    HttpResponse& response = *caller->requests.front().response;
    response.keep_alive(!Internal::closesConnection(node, *caller));
    if (!response.keep_alive())
        caller->readState = CallerReadState::Ended;
    caller->isWriting = true;
    Internal::armWriteTimer(node, caller);
    http::async_write(
        caller->socket, response, [&node, caller](const Internal::ErrorCode& error, std::size_t) {
            Internal::handleResponseWritten(node, caller, error);
        });
}

void disconnectStalledCallers(Node& node)
{
    while (const std::shared_ptr<CallerConnection> caller = findStalledCaller(node, now())) {
        logStalledCaller(*caller, now());
        disconnectCaller(node, caller);
    }
}

bool writeInterimResponse(Node& node, const std::shared_ptr<CallerConnection>& caller, std::string_view text)
{
    if (caller->isWriting)
        return false;
    caller->isWriting = true;
    Internal::armWriteTimer(node, caller);
    boost::asio::async_write(caller->socket, boost::asio::buffer(text.data(), text.size()),
        [&node, caller](const Internal::ErrorCode& error, std::size_t) {
            caller->isWriting = false;
            if (!isOpen(node, *caller))
                return;
            cancelTimer(caller->writeTimer);
            if (error)
                disconnectCaller(node, caller);
            else
                writeNextResponse(node, caller);
        });
    return true;
}

bool isNextDue(const CallerConnection& caller)
{
    const std::size_t last = caller.requests.size() - 1;
    return std::none_of(caller.requests.begin(), caller.requests.begin() + static_cast<std::ptrdiff_t>(last),
               [](const CallerRequest& ahead) { return !ahead.isIdempotent && !ahead.response; })
        && (last == 0 || caller.requests[last].isIdempotent);
}

void startDueRequests(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    bool isUnsafeInFlight = false;
    for (std::size_t index = 0; index < caller->requests.size(); ++index) {
        CallerRequest& request = caller->requests[index];
        const bool isDue = request.isIdempotent ? !isUnsafeInFlight : index == 0;
        if (!request.isStarted && !request.response && isDue) {
            request.isStarted = true;
            startExchange(node, request.exchangeId);
        }
        isUnsafeInFlight = isUnsafeInFlight || (!request.isIdempotent && !request.response);
    }
}

} // namespace Edge
