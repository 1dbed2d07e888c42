#include <balancing/loadmodel.h>
#include <edge/clock.h>
#include <edge/addressreuse.h>
#include <edge/exchanges.h>
#include <edge/upstreams.h>
#include <platform/headers.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace Edge {

namespace http = boost::beast::http;

namespace Internal {

using ErrorCode = boost::system::error_code;
using ConnectionPtr = std::shared_ptr<UpstreamConnection>;
using Balancing::AttemptOutcome;

/// Time to connect, a few round trips between regions; a lost first packet is sent again only after a second.
constexpr Utils::Duration connectTime = std::chrono::milliseconds(400);
/// Idle time for upstreams that do not tell theirs.
constexpr Utils::Duration untoldKeepAlive = std::chrono::seconds(4);
/// Part of an upstream's idle time for which a connection is reused. A request that must not be repeated is
/// sent only where the connection has hardly been idle, because an upstream that closes it meanwhile leaves
/// the outcome open.
constexpr double reusePart = 0.7;
constexpr double unsafeReusePart = 0.3;
/// Largest answer that is taken; it is held whole until it can't be cut short any more.
constexpr std::uint64_t mostAnswerBytes = 64ULL << 20;
/// Taken off what an upstream is told is left, so that its answer at the deadline still arrives in time.
constexpr Utils::Duration wayBack = std::chrono::milliseconds(5);

bool isOpen(const Node& node, const UpstreamConnection& connection)
{
    return node.traffic.upstreamConnections.contains(connection.id);
}

void closeConnection(Node& node, UpstreamConnection& connection)
{
    ErrorCode ignored;
    connection.timer.cancel();
    connection.socket.close(ignored);
    std::vector<std::uint64_t>& idle = node.traffic.upstreamStates[connection.upstream].idleConnectionIds;
    std::erase(idle, connection.id);
    node.traffic.upstreamConnections.erase(connection.id);
}

/// Ends the attempt on \a connection.
void endAttempt(Node& node, const ConnectionPtr& connection, AttemptEnd end,
    std::optional<HttpResponse> response = std::nullopt)
{
    const std::uint64_t exchange = connection->exchangeId;
    connection->exchangeId = 0;
    if (!response)
        closeConnection(node, *connection);
    handleAttemptOutcome(node, exchange, end, std::move(response));
}

void watchIdle(Node& node, const ConnectionPtr& connection)
{
    const Utils::Instant since = connection->idleSince;
    connection->socket.async_wait(Tcp::socket::wait_read, [&node, connection, since](const ErrorCode& error) {
        // What comes on an idle connection belongs to no request.
        if (!error && isOpen(node, *connection) && connection->exchangeId == 0
            && connection->idleSince == since)
            closeConnection(node, *connection);
    });
}

void keepOrClose(Node& node, const ConnectionPtr& connection, bool keep, Utils::Duration keepAlive)
{
    if (!keep || connection->buffer.size() > 0 || !connection->requestWritten || node.stopping) {
        closeConnection(node, *connection);
        return;
    }
    connection->timer.cancel();
    connection->idleSince = now();
    connection->keepAliveTimeout = keepAlive;
    node.traffic.upstreamStates[connection->upstream].idleConnectionIds.push_back(connection->id);
    watchIdle(node, connection);
}

AttemptEnd endOf(unsigned status, const Platform::ServerHeaders& told)
{
    constexpr unsigned statusMisdirected = 421;
    constexpr unsigned firstServerFailure = 500;
    if (told.notRun)
        return status == statusMisdirected ? AttemptEnd::Misdirected : AttemptEnd::Rejected;
    return status >= firstServerFailure ? AttemptEnd::ServerError : AttemptEnd::Responded;
}

Balancing::RouteStats* routeStatsOf(Node& node, const UpstreamConnection& connection)
{
    const auto exchange = node.traffic.exchanges.find(connection.exchangeId);
    return exchange == node.traffic.exchanges.end() ? nullptr
                                                    : &node.traffic.routeStats[exchange->second->route->name];
}

Balancing::ResponseSample sampleOf(Node& node, const UpstreamConnection& connection, AttemptEnd end,
    const Platform::ServerHeaders& told, Utils::Instant at)
{
    Balancing::ResponseSample sample;
    sample.latency = at - connection.sentAt;
    sample.reportedLoad = told.load;
    sample.succeeded = end == AttemptEnd::Responded;
    if (const Balancing::RouteStats* route = routeStatsOf(node, connection))
        sample.baselineLatency = route->meanLatency;
    return sample;
}

/// Learns how long requests of the route and of the service take where nothing waits.
void noteUsual(Node& node, const UpstreamConnection& connection, AttemptEnd end,
    const Platform::ServerHeaders& told, Utils::Instant at)
{
    Balancing::RouteStats* route = routeStatsOf(node, connection);
    if (!route || end != AttemptEnd::Responded || (told.load && told.load->waiting > 0))
        return;
    const double slowness = node.traffic.upstreamStates[connection.upstream].load.slowdownFactor;
    const Utils::Duration usual(
        static_cast<std::int64_t>(static_cast<double>((at - connection.sentAt).count()) / slowness));
    route->meanLatency = route->meanLatency ? Balancing::updatedMean(*route->meanLatency, usual) : usual;
    Balancing::ServiceStats& stats = node.traffic.serviceStats[connection.service];
    stats.serviceTime = Balancing::updatedMean(stats.serviceTime, usual);
}

void noteEnd(
    Node& node, const UpstreamConnection& connection, AttemptEnd end, const Platform::ServerHeaders& told)
{
    Balancing::UpstreamLoad& load = node.traffic.upstreamStates[connection.upstream].load;
    Balancing::ServiceStats& stats = node.traffic.serviceStats[connection.service];
    const Utils::Instant at = now();
    switch (end) {
    case AttemptEnd::Responded:
    case AttemptEnd::ServerError:
        Balancing::recordResponse(load, stats, sampleOf(node, connection, end, told, at), at);
        noteUsual(node, connection, end, told, at);
        node.counters.attemptLatency.record(at - connection.sentAt);
        break;
    case AttemptEnd::Rejected:
        Balancing::recordRejection(load, stats, told.load, at);
        break;
    case AttemptEnd::Misdirected:
        Balancing::recordAbandonedRequest(load);
        break;
    default:
        Balancing::recordFailure(load, at);
        break;
    }
}

void readAnswer(Node& node, const ConnectionPtr& connection);

bool isOther(const Platform::ServerHeaders& told, const Utils::UpstreamId& meant)
{
    return !told.server.value.empty() && told.server != meant;
}

void takeAnswer(Node& node, const ConnectionPtr& connection)
{
    const bool keep = connection->parser->keep_alive();
    HttpResponse response = connection->parser->release();
    const Platform::ServerHeaders told = Platform::parseServerHeaders(response.result_int(), response);
    const auto exchange = node.traffic.exchanges.find(connection->exchangeId);
    const bool ofAnother = exchange != node.traffic.exchanges.end() && !told.requestId.value.empty()
        && told.requestId != exchange->second->callerHeaders.requestId;
    if (ofAnother && keep) {
        // A late second answer to an earlier request; ours follows.
        readAnswer(node, connection);
        return;
    }
    const AttemptEnd end = ofAnother ? AttemptEnd::ConnectionLost : endOf(response.result_int(), told);
    noteEnd(node, *connection, end, told);
    keepOrClose(node, connection, keep, told.keepAliveTimeout.value_or(untoldKeepAlive));
    if (end == AttemptEnd::Misdirected && isOther(told, connection->upstream))
        recordAddressReuse(node, connection->upstream, told.server);
    if (ofAnother)
        endAttempt(node, connection, end);
    else
        endAttempt(node, connection, end, std::move(response));
}

AttemptEnd endOfError(const ErrorCode& error)
{
    const bool httpError = error.category() == http::make_error_code(http::error::bad_method).category();
    const bool cut = error == http::error::end_of_stream || error == http::error::partial_message;
    return httpError && !cut ? AttemptEnd::MalformedResponse : AttemptEnd::ConnectionLost;
}

void readAnswer(Node& node, const ConnectionPtr& connection)
{
    connection->parser.emplace();
    connection->parser->body_limit(mostAnswerBytes);
    http::async_read(connection->socket, connection->buffer, *connection->parser,
        [&node, connection](const ErrorCode& error, std::size_t) {
            if (!isOpen(node, *connection) || connection->exchangeId == 0)
                return;
            if (!error) {
                takeAnswer(node, connection);
                return;
            }
            noteEnd(node, *connection, endOfError(error), {});
            endAttempt(node, connection, endOfError(error));
        });
}

void send(Node& node, const ConnectionPtr& connection, const std::shared_ptr<Exchange>& exchange)
{
    connection->sentAt = now();
    connection->requestWritten = false;
    // The body is the exchange's, which the handler keeps alive.
    http::async_write(connection->socket, *connection->request,
        [&node, connection, exchange](const ErrorCode& error, std::size_t) {
            if (isOpen(node, *connection))
                connection->requestWritten = !error;
        });
    // An upstream may answer before it has read the whole body.
    readAnswer(node, connection);
}

void armTimer(Node& node, const ConnectionPtr& connection, Utils::Duration time, AttemptEnd end)
{
    connection->timer.expires_after(time);
    connection->timer.async_wait([&node, connection, end](const ErrorCode& error) {
        if (error || !isOpen(node, *connection) || connection->exchangeId == 0)
            return;
        noteEnd(node, *connection, end, {});
        endAttempt(node, connection, end);
    });
}

void connectAndSend(Node& node, const ConnectionPtr& connection, const std::shared_ptr<Exchange>& exchange,
    Utils::Duration timeout)
{
    ++node.counters.newConnections;
    armTimer(node, connection, std::min(timeout, connectTime), AttemptEnd::NotConnected);
    connection->socket.async_connect(
        toTcpEndpoint(connection->endpoint), [&node, connection, exchange, timeout](const ErrorCode& error) {
            if (!isOpen(node, *connection) || connection->exchangeId == 0)
                return;
            if (error) {
                noteEnd(node, *connection, AttemptEnd::NotConnected, {});
                endAttempt(node, connection, AttemptEnd::NotConnected);
                return;
            }
            connection->connected = true;
            configureSocket(connection->socket);
            armTimer(node, connection, timeout, AttemptEnd::TimedOut);
            send(node, connection, exchange);
        });
}

ConnectionPtr takeIdle(Node& node, const Utils::UpstreamId& upstream, double part)
{
    std::vector<std::uint64_t>& idle = node.traffic.upstreamStates[upstream].idleConnectionIds;
    while (!idle.empty()) {
        const auto found = node.traffic.upstreamConnections.find(idle.back());
        idle.pop_back();
        if (found == node.traffic.upstreamConnections.end())
            continue;
        ConnectionPtr connection = found->second;
        const Utils::Duration age = now() - connection->idleSince;
        const bool young = std::chrono::duration<double>(age) < connection->keepAliveTimeout * part;
        if (young && !isReadableOrClosed(connection->socket))
            return connection;
        closeConnection(node, *connection);
    }
    return nullptr;
}

void makeRequest(UpstreamConnection& connection, const Exchange& exchange, Utils::Duration left)
{
    connection.request.emplace(
        exchange.request.method(), exchange.request.target(), exchange.request.version());
    static_cast<http::fields&>(connection.request->base()) = exchange.request.base();
    Platform::removeHopByHopFields(*connection.request);
    Platform::setForwardingHeaders(*connection.request, connection.upstream, left);
    connection.request->body()
        = boost::beast::span<const char>(exchange.request.body().data(), exchange.request.body().size());
    connection.request->prepare_payload();
}

} // namespace Internal

void startAttempt(Node& node, const std::shared_ptr<Exchange>& exchange,
    const Routing::UpstreamRecord& upstream, Utils::Duration timeout)
{
    const bool idempotent = Routing::isIdempotent(exchange->route->kind);
    Internal::ConnectionPtr connection
        = Internal::takeIdle(node, upstream.id, idempotent ? Internal::reusePart : Internal::unsafeReusePart);
    const bool reused = connection != nullptr;
    if (!reused) {
        connection = std::make_shared<UpstreamConnection>(++node.traffic.lastId, node.context);
        connection->upstream = upstream.id;
        connection->service = upstream.service;
        connection->endpoint = upstream.endpoint;
        node.traffic.upstreamConnections.emplace(connection->id, connection);
    }
    connection->reused = reused;
    connection->exchangeId = exchange->id;
    exchange->connectionId = connection->id;
    const Utils::Instant at = now();
    Internal::makeRequest(*connection, *exchange, exchange->deadlineAt - at - Internal::wayBack);
    Balancing::recordRequestSent(node.traffic.upstreamStates[upstream.id].load, at);
    if (!reused) {
        Internal::connectAndSend(node, connection, exchange, timeout);
        return;
    }
    Internal::armTimer(node, connection, timeout, Balancing::AttemptOutcome::TimedOut);
    Internal::send(node, connection, exchange);
}

void abandonAttempt(Node& node, Exchange& exchange)
{
    const auto found = node.traffic.upstreamConnections.find(exchange.connectionId);
    exchange.connectionId = 0;
    if (found == node.traffic.upstreamConnections.end())
        return;
    const Internal::ConnectionPtr connection = found->second;
    connection->exchangeId = 0;
    exchange.mayHaveRun = exchange.mayHaveRun || connection->connected;
    Balancing::recordAbandonedRequest(node.traffic.upstreamStates[connection->upstream].load);
    Internal::closeConnection(node, *connection);
}

void closeIdleUpstreamConnections(Node& node, const Utils::UpstreamId& upstream)
{
    const std::vector<std::uint64_t> idle = node.traffic.upstreamStates[upstream].idleConnectionIds;
    for (const std::uint64_t id : idle) {
        const auto found = node.traffic.upstreamConnections.find(id);
        if (found != node.traffic.upstreamConnections.end())
            Internal::closeConnection(node, *std::shared_ptr<UpstreamConnection>(found->second));
    }
}

} // namespace Edge
