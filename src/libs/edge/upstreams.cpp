#include <balancing/fullqueue.h>
#include <balancing/loadmodel.h>
#include <edge/clock.h>
#include <edge/coldupstreams.h>
#include <edge/addressreuse.h>
#include <edge/callerresponses.h>
#include <edge/crashreports.h>
#include <edge/exchanges.h>
#include <edge/fullupstreams.h>
#include <edge/leaving.h>
#include <edge/limitkeeping.h>
#include <edge/pauses.h>
#include <edge/payload.h>
#include <edge/requestlog.h>
#include <edge/responseframing.h>
#include <edge/responsememory.h>
#include <edge/selfreports.h>
#include <edge/upstreamreach.h>
#include <edge/upstreams.h>
#include <edge/waitingrequests.h>
#include <logging/log.h>
#include <platform/headers.h>

#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace Edge {

namespace http = boost::beast::http;

namespace Internal {

using ErrorCode = boost::system::error_code;
using ConnectionPtr = std::shared_ptr<UpstreamConnection>;
using Balancing::AttemptOutcome;

/// Connect timeout: a few round trips between regions. TCP retransmits a lost SYN only after one second.
constexpr Utils::Duration connectTimeout = std::chrono::milliseconds(400);
/// Keep-alive timeout of upstreams that do not announce one.
constexpr Utils::Duration defaultKeepAliveTimeout = std::chrono::seconds(4);
/// Share of an upstream's keep-alive timeout for which an idle connection is reused. For a non-idempotent
/// request the share is smaller: if the upstream closes the connection while the request is in transit, the
/// outcome is unknown and the request cannot be retried.
constexpr double idleReuseShare = 0.7;
constexpr double unsafeIdleReuseShare = 0.3;
/// Maximum response size. A response is buffered completely before it is forwarded, so that callers never get
/// a truncated one.
constexpr std::uint64_t maxResponseBytes = 64ULL << 20;
/// Subtracted from the remaining time sent to an upstream, so that a response sent at that deadline still
/// arrives in time.
constexpr Utils::Duration responseTransferMargin = std::chrono::milliseconds(5);

bool isOpen(const Node& node, const UpstreamConnection& connection)
{
    return node.traffic.upstreamConnections.contains(connection.id);
}

void closeConnection(Node& node, UpstreamConnection& connection)
{
    ErrorCode ignored;
    cancelTimer(connection.timer);
    connection.socket.close(ignored);
    releaseReceivedBytes(node, connection);
    std::vector<std::uint64_t>& idle = node.traffic.upstreamStates[connection.upstream].idleConnectionIds;
    std::erase(idle, connection.id);
    node.traffic.upstreamConnections.erase(connection.id);
}

/// Ends the attempt on \a connection; closes the connection unless there is a response.
void finishAttempt(Node& node, const ConnectionPtr& connection, AttemptOutcome outcome,
    std::optional<HttpResponse> response = std::nullopt)
{
    const std::uint64_t exchangeId = connection->exchangeId;
    connection->exchangeId = 0;
    if (!response)
        closeConnection(node, *connection);
    handleAttemptOutcome(node, exchangeId, outcome, std::move(response));
}

void watchIdleConnection(Node& node, const ConnectionPtr& connection)
{
    const Utils::Instant since = connection->idleSince;
    connection->socket.async_wait(Tcp::socket::wait_read, [&node, connection, since](const ErrorCode& error) {
        // Data received on an idle connection belongs to no request, so the connection is closed.
        if (!error && isOpen(node, *connection) && connection->exchangeId == 0
            && connection->idleSince == since)
            closeConnection(node, *connection);
    });
}

void keepOrCloseConnection(
    Node& node, const ConnectionPtr& connection, bool canKeepAlive, Utils::Duration keepAliveTimeout)
{
    if (!canKeepAlive || connection->buffer.size() > 0 || !connection->requestWritten || node.stopping) {
        closeConnection(node, *connection);
        return;
    }
    cancelTimer(connection->timer);
    connection->idleSince = now();
    connection->keepAliveTimeout = keepAliveTimeout;
    node.traffic.upstreamStates[connection->upstream].idleConnectionIds.push_back(connection->id);
    watchIdleConnection(node, connection);
}

AttemptOutcome outcomeForStatus(unsigned status, const Platform::ServerHeaders& serverHeaders)
{
    constexpr unsigned statusMisdirected = 421;
    constexpr unsigned firstServerErrorStatus = 500;
    if (serverHeaders.notRun)
        return status == statusMisdirected ? AttemptOutcome::Misdirected : AttemptOutcome::Rejected;
    // Upstreams sign the responses to requests that they ran. To the caller another one would be this VM's.
    if (!serverHeaders.isStamped)
        return AttemptOutcome::MalformedResponse;
    return status >= firstServerErrorStatus ? AttemptOutcome::ServerError : AttemptOutcome::Responded;
}

Balancing::RouteStats* findRouteStats(Node& node, const UpstreamConnection& connection)
{
    const auto exchange = node.traffic.exchanges.find(connection.exchangeId);
    return exchange == node.traffic.exchanges.end() ? nullptr
                                                    : &node.traffic.routeStats[exchange->second->route->name];
}

Balancing::ResponseSample makeResponseSample(Node& node, const UpstreamConnection& connection,
    AttemptOutcome outcome, const Platform::ServerHeaders& serverHeaders, Utils::Instant at)
{
    Balancing::ResponseSample sample;
    sample.latency = at - connection.sentAt;
    sample.reportedLoad = serverHeaders.load;
    sample.succeeded = outcome == AttemptOutcome::Responded;
    if (const Balancing::RouteStats* route = findRouteStats(node, connection))
        sample.baselineLatency = route->meanLatency;
    return sample;
}

/// Updates the mean latencies of the route and the service, from responses of upstreams without a queue.
void updateMeanLatencies(Node& node, const UpstreamConnection& connection, AttemptOutcome outcome,
    const Platform::ServerHeaders& serverHeaders, Utils::Instant at)
{
    Balancing::RouteStats* route = findRouteStats(node, connection);
    if (!route || outcome != AttemptOutcome::Responded
        || (serverHeaders.load && serverHeaders.load->waiting > 0))
        return;
    const double slowdownFactor = node.traffic.upstreamStates[connection.upstream].load.slowdownFactor
        * (serverHeaders.load ? serverHeaders.load->workFactor.value_or(1) : 1);
    const Utils::Duration latency(
        static_cast<std::int64_t>(static_cast<double>((at - connection.sentAt).count()) / slowdownFactor));
    route->meanLatency = route->meanLatency ? Balancing::updatedMean(*route->meanLatency, latency) : latency;
    Balancing::ServiceStats& stats = node.traffic.serviceStats[connection.service];
    stats.serviceTime = Balancing::updatedMean(stats.serviceTime, latency);
}

void recordAttemptOutcome(Node& node, const UpstreamConnection& connection, AttemptOutcome outcome,
    const Platform::ServerHeaders& serverHeaders)
{
    Balancing::UpstreamLoad& load = node.traffic.upstreamStates[connection.upstream].load;
    Balancing::ServiceStats& stats = node.traffic.serviceStats[connection.service];
    const Utils::Instant at = now();
    recordOutcomeForLimit(node, connection.exchangeId, outcome, serverHeaders.load, at - connection.sentAt);
    switch (outcome) {
    case AttemptOutcome::Responded:
    case AttemptOutcome::ServerError:
        load.lastAnsweredSentAt = std::max(load.lastAnsweredSentAt, connection.sentAt);
        if (serverHeaders.load)
            Balancing::recordServedQueue(stats, serverHeaders.load->waiting);
        Balancing::recordResponse(
            load, stats, makeResponseSample(node, connection, outcome, serverHeaders, at), at);
        updateMeanLatencies(node, connection, outcome, serverHeaders, at);
        node.counters.attemptLatency.record(at - connection.sentAt);
        break;
    case AttemptOutcome::Rejected:
        Balancing::recordRejection(load, stats, serverHeaders.load, at);
        break;
    case AttemptOutcome::Misdirected:
        Balancing::recordAbandonedRequest(load);
        break;
    case AttemptOutcome::TimedOut:
        if (recordLeftUnanswered(node, connection))
            Balancing::recordAbandonedRequest(load);
        else
            Balancing::recordFailure(load, at);
        break;
    default:
        Balancing::recordFailure(load, at);
        break;
    }
}

void readResponse(Node& node, const ConnectionPtr& connection);

bool isFromOtherUpstream(const Platform::ServerHeaders& serverHeaders, const Utils::UpstreamId& expected)
{
    return !serverHeaders.server.value.empty() && serverHeaders.server != expected;
}

/// A request has certainly not run only if nothing of it was handed to the socket.
void endAttempt(Node& node, const ConnectionPtr& connection, AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::NotConnected && connection->requestHandedOver)
        outcome = AttemptOutcome::TimedOut;
    recordAttemptOutcome(node, *connection, outcome, {});
    if (outcome != AttemptOutcome::MalformedResponse)
        recordUpstreamLinkFailure(node, connection->upstream, connection->startedAt);
    finishAttempt(node, connection, outcome);
}

/// Ends the attempt as the upstream has sent what is no response; the request may have run all the same.
void rejectResponse(Node& node, const ConnectionPtr& connection, ResponseFault fault, unsigned status)
{
    node.counters.invalidResponses.add(fault);
    Logging::write(Logging::Level::Warning, "response_invalid",
        { { "upstream", connection->upstream.value }, { "fault", Utils::enumName(responseFaultNames, fault) },
            { "status", status } });
    endAttempt(node, connection, AttemptOutcome::MalformedResponse);
}

/// Reads the next response after one that does not belong to the request.
void skipResponse(Node& node, const ConnectionPtr& connection)
{
    if (++connection->skippedResponses > maxSkippedResponses)
        endAttempt(node, connection, AttemptOutcome::MalformedResponse);
    else
        readResponse(node, connection);
}

/// Whether a response belongs to an earlier request on the connection. One that names no request can't be
/// told from such a response if the upstream has named requests before.
bool belongsToOtherRequest(
    UpstreamConnection& connection, const Exchange& exchange, const Utils::RequestId& named)
{
    const Utils::RequestId& expected = exchange.callerHeaders.requestId;
    if (named.value.empty())
        return connection.namesRequests && !expected.value.empty();
    connection.namesRequests = connection.namesRequests || named == expected;
    return named != expected;
}

/// Whether the next request may be sent on the connection after the response. A request that was misdirected
/// may be sent to the upstream again after others, and a second copy of the response would name it. The copy
/// of a response that names no request could not be told from the response to the next one.
bool allowsReuse(AttemptOutcome outcome, const Platform::ServerHeaders& serverHeaders)
{
    return outcome != AttemptOutcome::Misdirected && !serverHeaders.requestId.value.empty();
}

/// Records what the upstream says of itself in a response. One without a signature that does not reject the
/// request either may be anyone's.
void recordStatements(
    Node& node, const UpstreamConnection& connection, const Platform::ServerHeaders& serverHeaders)
{
    if (!serverHeaders.isStamped && !serverHeaders.notRun)
        return;
    recordNamedPause(node, connection.upstream, connection.upstreamStartTimeMs, serverHeaders);
    recordColdTime(node, connection.upstream, connection.upstreamStartTimeMs, serverHeaders);
    if (serverHeaders.isLeaving)
        recordUpstreamLeaving(node, connection.upstream, connection.upstreamStartTimeMs);
}

void handleResponse(Node& node, const ConnectionPtr& connection)
{
    const bool canKeepAlive = connection->parser->keep_alive();
    HttpResponse response = connection->parser->release();
    releaseReceivedBytes(node, *connection);
    std::optional<ResponseFault> fault = findResponseFault(response);
    if (isInterim(response) && connection->skippedResponses >= maxSkippedResponses)
        fault = ResponseFault::ManyInterimResponses;
    if (fault) {
        rejectResponse(node, connection, *fault, response.result_int());
        return;
    }
    if (isInterim(response)) {
        skipResponse(node, connection);
        return;
    }
    const Platform::ServerHeaders serverHeaders
        = Platform::parseServerHeaders(response.result_int(), response);
    const auto exchange = node.traffic.exchanges.find(connection->exchangeId);
    const bool isForOtherRequest = exchange != node.traffic.exchanges.end()
        && belongsToOtherRequest(*connection, *exchange->second, serverHeaders.requestId);
    if (isForOtherRequest && canKeepAlive && !serverHeaders.requestId.value.empty()) {
        // Duplicate, late response to an earlier request on this connection; the expected response follows.
        skipResponse(node, connection);
        return;
    }
    const AttemptOutcome outcome = isForOtherRequest ? AttemptOutcome::ConnectionLost
                                                     : outcomeForStatus(response.result_int(), serverHeaders);
    if (exchange != node.traffic.exchanges.end() && !isForOtherRequest && !serverHeaders.notRun
        && !serverHeaders.isStamped) {
        ++node.counters.unsignedResponses;
        logUnsignedResponse(*exchange->second, connection->upstream, response.result_int());
    }
    if (exchange != node.traffic.exchanges.end())
        exchange->second->lastReportedLoad = serverHeaders.load;
    recordAttemptOutcome(node, *connection, outcome, serverHeaders);
    if (!isForOtherRequest && !isFromOtherUpstream(serverHeaders, connection->upstream)) {
        recordUpstreamLife(node, connection->upstream, connection->connectedAt, connection->sentAt);
        recordNamedLimit(node, connection->upstream, serverHeaders);
        recordUnreadableReports(node, connection->upstream, serverHeaders);
        recordStatements(node, *connection, serverHeaders);
    }
    keepOrCloseConnection(node, connection, canKeepAlive && allowsReuse(outcome, serverHeaders),
        serverHeaders.keepAliveTimeout.value_or(defaultKeepAliveTimeout));
    if (outcome == AttemptOutcome::Misdirected && isFromOtherUpstream(serverHeaders, connection->upstream))
        recordAddressReuse(node, connection->upstream, connection->endpoint, serverHeaders.server);
    if (isForOtherRequest || outcome == AttemptOutcome::MalformedResponse)
        finishAttempt(node, connection, outcome);
    else
        finishAttempt(node, connection, outcome, std::move(response));
}

/// Handles the response that has been read. One without a length is complete unless the connection was reset.
/// A write that was in progress takes that error from the socket, so that the read only sees an end.
void handleReadResponse(Node& node, const ConnectionPtr& connection)
{
    if (connection->parser->need_eof() && connection->hasWriteFailed) {
        Logging::write(Logging::Level::Info, "response_broken_off",
            { { "upstream", connection->upstream.value },
                { "bytes", connection->parser->get().body().size() } });
        endAttempt(node, connection, AttemptOutcome::ConnectionLost);
        return;
    }
    handleResponse(node, connection);
}

/// Handles that the response has been read. A failed write may be handled after the read that it explains.
void handleEndOfResponse(Node& node, const ConnectionPtr& connection)
{
    const bool isWriting = !connection->requestWritten && !connection->hasWriteFailed;
    if (!connection->parser->need_eof() || !isWriting) {
        handleReadResponse(node, connection);
        return;
    }
    boost::asio::post(node.context, [&node, connection, exchangeId = connection->exchangeId] {
        if (isOpen(node, *connection) && connection->exchangeId == exchangeId)
            handleReadResponse(node, connection);
    });
}

AttemptOutcome outcomeForError(const ErrorCode& error)
{
    const bool isHttpError = error.category() == http::make_error_code(http::error::bad_method).category();
    const bool isTruncated = error == http::error::end_of_stream || error == http::error::partial_message;
    return isHttpError && !isTruncated ? AttemptOutcome::MalformedResponse : AttemptOutcome::ConnectionLost;
}

/// Ends the attempt with the largest response if responses use too much memory, also without those of callers
/// that don't read.
void enforceResponseMemory(Node& node)
{
    disconnectStalledCallers(node);
    const ConnectionPtr largest = findExcessiveResponse(node);
    if (!largest)
        return;
    Logging::write(Logging::Level::Warning, "response_too_large",
        { { "upstream", largest->upstream.value }, { "bytes", largest->receivedBytes },
            { "all_bytes", node.traffic.responseBytes } });
    endAttempt(node, largest, AttemptOutcome::MalformedResponse);
}

void readResponsePart(Node& node, const ConnectionPtr& connection)
{
    http::async_read_some(connection->socket, connection->buffer, *connection->parser,
        [&node, connection](const ErrorCode& error, std::size_t) {
            if (!isOpen(node, *connection) || connection->exchangeId == 0)
                return;
            if (error) {
                endAttempt(node, connection, outcomeForError(error));
                return;
            }
            if (connection->parser->is_done()) {
                handleEndOfResponse(node, connection);
                return;
            }
            recordReceivedBytes(node, *connection);
            enforceResponseMemory(node);
            if (isOpen(node, *connection) && connection->exchangeId != 0)
                readResponsePart(node, connection);
        });
}

void readResponse(Node& node, const ConnectionPtr& connection)
{
    connection->parser.emplace();
    connection->parser->body_limit(maxResponseBytes);
    connection->parser->eager(true);
    // The response to HEAD has the length of a body that does not follow.
    connection->parser->skip(connection->request->method() == http::verb::head);
    readResponsePart(node, connection);
}

/// An upstream may read a large body slowly; the timeout of the attempt limits that.
void limitAcknowledgementTime(UpstreamConnection& connection)
{
    const bool isLimited = connection.request->body().size() <= maxWindowedRequestBytes;
    if (std::exchange(connection.hasAcknowledgementLimit, isLimited) != isLimited)
        setAcknowledgementLimit(connection.socket, isLimited);
}

void sendRequest(Node& node, const ConnectionPtr& connection, const std::shared_ptr<Exchange>& exchange)
{
    limitAcknowledgementTime(*connection);
    connection->sentAt = now();
    connection->requestWritten = false;
    connection->hasWriteFailed = false;
    connection->requestHandedOver = true;
    connection->skippedResponses = 0;
    // The request refers to the body of the exchange, which the handler keeps alive.
    http::async_write(connection->socket, *connection->request,
        [&node, connection, exchange](const ErrorCode& error, std::size_t) {
            if (!isOpen(node, *connection))
                return;
            connection->requestWritten = !error;
            connection->hasWriteFailed = error && error != boost::asio::error::broken_pipe;
        });
    // An upstream may respond before it has read the whole body.
    readResponse(node, connection);
}

void armTimer(Node& node, const ConnectionPtr& connection, Utils::Duration timeout, AttemptOutcome outcome)
{
    startTimer(connection->timer, timeout, [&node, connection, outcome] {
        if (!isOpen(node, *connection) || connection->exchangeId == 0)
            return;
        if (outcome == AttemptOutcome::TimedOut && !isRetriedAfterTimeout(node, connection->exchangeId))
            return;
        endAttempt(node, connection, outcome);
    });
}

void connectAndSend(Node& node, const ConnectionPtr& connection, const std::shared_ptr<Exchange>& exchange,
    Utils::Duration timeout)
{
    ++node.counters.newConnections;
    armTimer(node, connection, std::min(timeout, connectTimeout), AttemptOutcome::NotConnected);
    connection->socket.async_connect(toTcpEndpoint(upstreamEndpoint(node, connection->endpoint)),
        [&node, connection, exchange, timeout](const ErrorCode& error) {
            if (!isOpen(node, *connection) || connection->exchangeId == 0)
                return;
            if (!error)
                recordUpstreamConnected(node);
            if (error) {
                if (error == boost::asio::error::connection_refused)
                    recordConnectionRefused(node, connection->upstream);
                endAttempt(node, connection, AttemptOutcome::NotConnected);
                return;
            }
            recordConnectionMade(node, connection->upstream);
            connection->connectedAt = now();
            configureSocket(connection->socket);
            armTimer(node, connection, timeout, AttemptOutcome::TimedOut);
            sendRequest(node, connection, exchange);
        });
}

/// Takes an idle connection to \a upstream that can be reused. A connection that has carried the same request
/// just before is not: a second copy of the response to that attempt could not be told from the next one.
ConnectionPtr acquireIdleConnection(
    Node& node, const Utils::UpstreamId& upstream, std::uint64_t exchangeId, double maxIdleShare)
{
    std::vector<std::uint64_t>& idle = node.traffic.upstreamStates[upstream].idleConnectionIds;
    while (!idle.empty()) {
        const auto found = node.traffic.upstreamConnections.find(idle.back());
        idle.pop_back();
        if (found == node.traffic.upstreamConnections.end())
            continue;
        ConnectionPtr connection = found->second;
        if (connection->lastExchangeId == exchangeId) {
            closeConnection(node, *connection);
            continue;
        }
        const Utils::Duration age = now() - connection->idleSince;
        const bool isFresh = std::chrono::duration<double>(age) < connection->keepAliveTimeout * maxIdleShare;
        if (isFresh && !isReadableOrClosed(connection->socket))
            return connection;
        closeConnection(node, *connection);
    }
    return nullptr;
}

void prepareRequest(UpstreamConnection& connection, const Exchange& exchange, Utils::Duration timeLeft)
{
    connection.request.emplace(
        exchange.request.method(), exchange.request.target(), exchange.request.version());
    static_cast<http::fields&>(connection.request->base()) = exchange.request.base();
    Platform::removeHopByHopFields(*connection.request);
    Platform::setForwardingHeaders(*connection.request, connection.upstream, timeLeft);
    connection.request->body()
        = boost::beast::span<const char>(exchange.request.body().data(), exchange.request.body().size());
    setRequestLength(*connection.request, exchange.request.body().size());
}

} // namespace Internal

void startAttempt(Node& node, const std::shared_ptr<Exchange>& exchange,
    const Routing::UpstreamRecord& upstream, Utils::Duration timeout)
{
    const bool idempotent = Routing::isIdempotent(exchange->route->kind);
    Internal::ConnectionPtr connection = Internal::acquireIdleConnection(node, upstream.id, exchange->id,
        idempotent ? Internal::idleReuseShare : Internal::unsafeIdleReuseShare);
    const bool reused = connection != nullptr;
    if (!reused) {
        connection = std::make_shared<UpstreamConnection>(++node.traffic.lastId, node.context);
        connection->upstream = upstream.id;
        connection->upstreamStartTimeMs = upstream.startTimeMs;
        connection->service = upstream.service;
        connection->endpoint = upstream.endpoint;
        node.traffic.upstreamConnections.emplace(connection->id, connection);
    }
    connection->requestHandedOver = false;
    connection->exchangeId = exchange->id;
    connection->lastExchangeId = exchange->id;
    exchange->connectionId = connection->id;
    const Utils::Instant at = now();
    connection->startedAt = at;
    Internal::prepareRequest(
        *connection, *exchange, exchange->deadlineAt - at - Internal::responseTransferMargin);
    Balancing::recordRequestSent(node.traffic.upstreamStates[upstream.id].load, at);
    if (!reused) {
        Internal::connectAndSend(node, connection, exchange, timeout);
        return;
    }
    Internal::armTimer(node, connection, timeout, Balancing::AttemptOutcome::TimedOut);
    Internal::sendRequest(node, connection, exchange);
}

void abandonAttempt(Node& node, Exchange& exchange)
{
    const auto found = node.traffic.upstreamConnections.find(exchange.connectionId);
    exchange.connectionId = 0;
    if (found == node.traffic.upstreamConnections.end())
        return;
    const Internal::ConnectionPtr connection = found->second;
    connection->exchangeId = 0;
    exchange.mayHaveRun = exchange.mayHaveRun || connection->requestHandedOver;
    if (connection->requestHandedOver)
        recordAbandonedAttempt(node, exchange);
    if (now() >= exchange.deadlineAt)
        recordLeftUnanswered(node, *connection);
    Balancing::recordAbandonedRequest(node.traffic.upstreamStates[connection->upstream].load);
    Internal::closeConnection(node, *connection);
}

void endAttemptsAfterReachLoss(Node& node)
{
    std::vector<Internal::ConnectionPtr> active;
    for (auto it = node.traffic.upstreamConnections.begin(); it != node.traffic.upstreamConnections.end();
         ++it) {
        if (it->second->exchangeId != 0)
            active.push_back(it->second);
    }
    for (const Internal::ConnectionPtr& connection : active) {
        if (!Internal::isOpen(node, *connection) || connection->exchangeId == 0)
            continue;
        if (!connection->requestHandedOver)
            Internal::endAttempt(node, connection, Balancing::AttemptOutcome::NotConnected);
        else if (isRetriedAfterTimeout(node, connection->exchangeId))
            Internal::endAttempt(node, connection, Balancing::AttemptOutcome::TimedOut);
    }
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
