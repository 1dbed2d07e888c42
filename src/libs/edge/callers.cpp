#include <edge/callers.h>
#include <edge/clock.h>
#include <edge/exchanges.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace Edge {

namespace http = boost::beast::http;

namespace Internal {

using ErrorCode = boost::system::error_code;

/// Callers may reuse a connection until the configured idle timeout. Closing it slightly later avoids closing
/// it while a request is in transit.
constexpr Utils::Duration idleTimeoutMargin = std::chrono::seconds(1);
/// Timeout for reading a request body; the platform's configuration sets none.
constexpr Utils::Duration bodyReadTimeout = std::chrono::seconds(10);
/// Timeout for writing a response to a caller.
constexpr Utils::Duration responseWriteTimeout = std::chrono::seconds(20);

/// Headers that another VM adds to a request that it forwards.
constexpr std::uint32_t maxForwardingHeaderBytes = 1024;

bool isOpen(const Node& node, const CallerConnection& caller)
{
    return node.traffic.callerConnections.contains(caller.id);
}

void closeCaller(Node& node, CallerConnection& caller)
{
    ErrorCode ignored;
    cancelTimer(caller.timer);
    caller.socket.close(ignored);
    node.traffic.callerConnections.erase(caller.id);
}

Routing::CallerLimits callerLimitsFor(const Node& node)
{
    return node.clusterView.routeTable ? node.clusterView.routeTable->configuration.limits
                                       : Routing::CallerLimits {};
}

void armTimer(Node& node, const std::shared_ptr<CallerConnection>& caller, Utils::Duration timeout)
{
    startTimer(caller->timer, timeout, [&node, caller] {
        if (isOpen(node, *caller))
            closeCaller(node, *caller);
    });
}

/// Cancels the exchange when the caller disconnects while its request is in flight.
void watchForDisconnect(Node& node, const std::shared_ptr<CallerConnection>& caller, std::uint64_t exchangeId)
{
    caller->socket.async_wait(Tcp::socket::wait_read, [&node, caller, exchangeId](const ErrorCode& error) {
        if (error || !isOpen(node, *caller) || caller->exchangeId != exchangeId)
            return;
        char byte = 0;
        const ssize_t received = ::recv(caller->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool disconnected = received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        if (!disconnected)
            return;
        ++node.counters.callersDisconnected;
        closeCaller(node, *caller);
        cancelExchange(node, exchangeId);
    });
}

void rejectMalformedRequest(
    Node& node, const std::shared_ptr<CallerConnection>& caller, const ErrorCode& error)
{
    LocalResponse localResponse;
    localResponse.reason = LocalResponseReason::BadRequest;
    if (error == http::error::header_limit)
        localResponse.reason = LocalResponseReason::HeaderTooLarge;
    if (error == http::error::body_limit)
        localResponse.reason = LocalResponseReason::BodyTooLarge;
    node.counters.localResponses.add(localResponse.reason);
    caller->keepAlive = false;
    respondToCaller(node, caller->id, makeLocalResponse(localResponse, {}));
}

bool isMalformed(const ErrorCode& error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

void handleRequest(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    cancelTimer(caller->timer);
    caller->keepAlive = caller->parser->keep_alive();
    Platform::HttpRequest request = caller->parser->release();
    caller->parser.reset();
    caller->isReadingBody = false;
    beginExchange(node, *caller, std::move(request));
    if (isOpen(node, *caller) && caller->exchangeId != 0)
        watchForDisconnect(node, caller, caller->exchangeId);
}

void readBody(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    armTimer(node, caller, bodyReadTimeout);
    http::async_read(caller->socket, caller->buffer, *caller->parser,
        [&node, caller](const ErrorCode& error, std::size_t) {
            if (!isOpen(node, *caller))
                return;
            if (!error)
                handleRequest(node, caller);
            else if (isMalformed(error))
                rejectMalformedRequest(node, caller, error);
            else
                closeCaller(node, *caller);
        });
}

/// Sends the interim response 100 (Continue) and then reads the body.
void sendContinue(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    static constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(caller->socket, boost::asio::buffer(continueResponse),
        [&node, caller](const ErrorCode& error, std::size_t) {
            if (isOpen(node, *caller) && !error)
                readBody(node, caller);
            else if (isOpen(node, *caller))
                closeCaller(node, *caller);
        });
}

} // namespace Internal

void readRequest(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    const Routing::CallerLimits limits = Internal::callerLimitsFor(node);
    caller->parser.emplace();
    caller->parser->header_limit(
        limits.maxHeaderBytes + (caller->isPeer ? Internal::maxForwardingHeaderBytes : 0));
    caller->parser->body_limit(limits.maxBodyBytes);
    Internal::armTimer(node, caller, limits.idleTimeout + Internal::idleTimeoutMargin);
    http::async_read_header(caller->socket, caller->buffer, *caller->parser,
        [&node, caller](const Internal::ErrorCode& error, std::size_t) {
            if (!Internal::isOpen(node, *caller))
                return;
            if (error && Internal::isMalformed(error)) {
                Internal::rejectMalformedRequest(node, caller, error);
                return;
            }
            if (error) {
                Internal::closeCaller(node, *caller);
                return;
            }
            caller->isReadingBody = true;
            if (caller->parser->get()[http::field::expect] == "100-continue")
                Internal::sendContinue(node, caller);
            else
                Internal::readBody(node, caller);
        });
}

void acceptCaller(Node& node, Tcp::socket socket, bool isPeer)
{
    const std::uint64_t id = ++node.traffic.lastId;
    configureSocket(socket);
    const std::shared_ptr<CallerConnection> caller
        = std::make_shared<CallerConnection>(id, std::move(socket));
    caller->isPeer = isPeer;
    node.traffic.callerConnections.emplace(id, caller);
    readRequest(node, caller);
}

void respondToCaller(Node& node, std::uint64_t id, HttpResponse response)
{
    const auto found = node.traffic.callerConnections.find(id);
    if (found == node.traffic.callerConnections.end())
        return;
    const std::shared_ptr<CallerConnection> caller = found->second;
    caller->exchangeId = 0;
    caller->keepAlive = caller->keepAlive && !node.stopping;
    response.keep_alive(caller->keepAlive);
    caller->response.emplace(std::move(response));
    caller->responseBytes = caller->response->body().capacity();
    node.traffic.responseBytes += caller->responseBytes;
    Internal::armTimer(node, caller, Internal::responseWriteTimeout);
    http::async_write(
        caller->socket, *caller->response, [&node, caller](const Internal::ErrorCode& error, std::size_t) {
            caller->response.reset();
            node.traffic.responseBytes -= std::exchange(caller->responseBytes, 0);
            if (!Internal::isOpen(node, *caller))
                return;
            if (error || !caller->keepAlive) {
                Internal::ErrorCode ignored;
                caller->socket.shutdown(Tcp::socket::shutdown_send, ignored);
                Internal::closeCaller(node, *caller);
                return;
            }
            readRequest(node, caller);
        });
}

void closeIdleCallers(Node& node)
{
    std::vector<std::shared_ptr<CallerConnection>> idle;
    for (auto it = node.traffic.callerConnections.begin(); it != node.traffic.callerConnections.end(); ++it) {
        const CallerConnection& caller = *it->second;
        const bool requestBegun = caller.isReadingBody || caller.exchangeId != 0 || caller.response
            || caller.buffer.size() > 0 || (caller.parser && caller.parser->got_some());
        if (!requestBegun)
            idle.push_back(it->second);
    }
    for (const std::shared_ptr<CallerConnection>& caller : idle)
        Internal::closeCaller(node, *caller);
}

} // namespace Edge
