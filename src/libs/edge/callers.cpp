#include <edge/callers.h>
#include <edge/clock.h>
#include <edge/exchanges.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace Edge {

namespace http = boost::beast::http;

namespace Internal {

using ErrorCode = boost::system::error_code;

/// A caller may reuse a connection until its limit; closing a little later keeps the two from crossing.
constexpr Utils::Duration idleMargin = std::chrono::seconds(1);
/// Time for a body, which the platform does not limit.
constexpr Utils::Duration bodyTime = std::chrono::seconds(10);
/// Time for a caller to take its answer.
constexpr Utils::Duration writeTime = std::chrono::seconds(20);

bool isOpen(const Node& node, const CallerConnection& caller)
{
    return node.traffic.callerConnections.contains(caller.id);
}

void closeCaller(Node& node, CallerConnection& caller)
{
    ErrorCode ignored;
    caller.timer.cancel();
    caller.socket.close(ignored);
    node.traffic.callerConnections.erase(caller.id);
}

Routing::CallerLimits limitsOf(const Node& node)
{
    return node.clusterView.routeTable ? node.clusterView.routeTable->configuration.limits
                                       : Routing::CallerLimits {};
}

void armTimer(Node& node, const std::shared_ptr<CallerConnection>& caller, Utils::Duration time)
{
    caller->timer.expires_after(time);
    caller->timer.async_wait([&node, caller](const ErrorCode& error) {
        if (!error && isOpen(node, *caller))
            closeCaller(node, *caller);
    });
}

/// Notices a caller that leaves while its request is served.
void watchCaller(Node& node, const std::shared_ptr<CallerConnection>& caller, std::uint64_t exchange)
{
    caller->socket.async_wait(Tcp::socket::wait_read, [&node, caller, exchange](const ErrorCode& error) {
        if (error || !isOpen(node, *caller) || caller->exchangeId != exchange)
            return;
        char byte = 0;
        const ssize_t received = ::recv(caller->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool left = received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        if (!left)
            return;
        ++node.counters.callersDisconnected;
        closeCaller(node, *caller);
        cancelExchange(node, exchange);
    });
}

void refuseMalformed(Node& node, const std::shared_ptr<CallerConnection>& caller, const ErrorCode& error)
{
    LocalResponse answer;
    answer.reason = LocalResponseReason::BadRequest;
    if (error == http::error::header_limit)
        answer.reason = LocalResponseReason::HeaderTooLarge;
    if (error == http::error::body_limit)
        answer.reason = LocalResponseReason::BodyTooLarge;
    node.counters.localResponses.add(answer.reason);
    caller->keepAlive = false;
    respondToCaller(node, caller->id, makeLocalResponse(answer, {}));
}

bool isMalformed(const ErrorCode& error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

void takeRequest(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    caller->timer.cancel();
    caller->keepAlive = caller->parser->keep_alive();
    Platform::HttpRequest request = caller->parser->release();
    caller->parser.reset();
    caller->isReadingBody = false;
    beginExchange(node, *caller, std::move(request));
    if (isOpen(node, *caller) && caller->exchangeId != 0)
        watchCaller(node, caller, caller->exchangeId);
}

void readBody(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    armTimer(node, caller, bodyTime);
    http::async_read(caller->socket, caller->buffer, *caller->parser,
        [&node, caller](const ErrorCode& error, std::size_t) {
            if (!isOpen(node, *caller))
                return;
            if (!error)
                takeRequest(node, caller);
            else if (isMalformed(error))
                refuseMalformed(node, caller, error);
            else
                closeCaller(node, *caller);
        });
}

/// Tells a caller that waits for it to send its body.
void invite(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    static constexpr std::string_view invitation = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(caller->socket, boost::asio::buffer(invitation),
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
    const Routing::CallerLimits limits = Internal::limitsOf(node);
    caller->parser.emplace();
    caller->parser->header_limit(limits.maxHeaderBytes);
    caller->parser->body_limit(limits.maxBodyBytes);
    Internal::armTimer(node, caller, limits.idleTimeout + Internal::idleMargin);
    http::async_read_header(caller->socket, caller->buffer, *caller->parser,
        [&node, caller](const Internal::ErrorCode& error, std::size_t) {
            if (!Internal::isOpen(node, *caller))
                return;
            if (error && Internal::isMalformed(error)) {
                Internal::refuseMalformed(node, caller, error);
                return;
            }
            if (error) {
                Internal::closeCaller(node, *caller);
                return;
            }
            caller->isReadingBody = true;
            if (caller->parser->get()[http::field::expect] == "100-continue")
                Internal::invite(node, caller);
            else
                Internal::readBody(node, caller);
        });
}

void acceptCaller(Node& node, Tcp::socket socket)
{
    const std::uint64_t id = ++node.traffic.lastId;
    configureSocket(socket);
    const std::shared_ptr<CallerConnection> caller
        = std::make_shared<CallerConnection>(id, std::move(socket));
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
    Internal::armTimer(node, caller, Internal::writeTime);
    http::async_write(
        caller->socket, *caller->response, [&node, caller](const Internal::ErrorCode& error, std::size_t) {
            caller->response.reset();
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
        const bool begun = caller.isReadingBody || caller.exchangeId != 0 || caller.response
            || caller.buffer.size() > 0 || (caller.parser && caller.parser->got_some());
        if (!begun)
            idle.push_back(it->second);
    }
    for (const std::shared_ptr<CallerConnection>& caller : idle)
        Internal::closeCaller(node, *caller);
}

} // namespace Edge
