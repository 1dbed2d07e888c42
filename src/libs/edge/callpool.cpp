#include <edge/callpool.h>
#include <edge/clock.h>
#include <logging/log.h>

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace Edge {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace Internal {

using ErrorCode = boost::system::error_code;

/// Idle connections are discarded well before the server closes them; upstreams close theirs after ten
/// seconds.
constexpr Utils::Duration maxIdleDuration = std::chrono::seconds(4);
/// Connect timeout: several round trips between regions.
constexpr Utils::Duration connectTimeout = std::chrono::milliseconds(500);
constexpr std::size_t maxIdleConnectionsPerEndpoint = 4;

std::shared_ptr<Call> findCall(CallPool& pool, std::uint64_t id)
{
    const auto found = pool.calls.find(id);
    return found == pool.calls.end() ? nullptr : found->second;
}

bool isPending(const CallPool& pool, std::uint64_t id) { return pool.calls.contains(id); }

void keepIdleConnection(CallPool& pool, Call& call)
{
    std::deque<CallPool::IdleConnection>& idle = pool.idleConnections[call.endpoint];
    if (idle.size() < maxIdleConnectionsPerEndpoint)
        idle.push_back({ std::move(call.socket), now() });
}

void finishCall(CallPool& pool, std::uint64_t id, CallResponse response)
{
    const auto found = pool.calls.find(id);
    if (found == pool.calls.end())
        return;
    const std::shared_ptr<Call> call = found->second;
    pool.calls.erase(found);
    cancelTimer(call->timer);
    ErrorCode ignored;
    call->socket.close(ignored);
    call->handler(std::move(response));
}

void failCall(CallPool& pool, std::uint64_t id, CallOutcome outcome)
{
    CallResponse response;
    response.outcome = outcome;
    finishCall(pool, id, std::move(response));
}

void connect(CallPool& pool, std::uint64_t id);

void armTimer(CallPool& pool, std::uint64_t id, const std::shared_ptr<Call>& call, Utils::Duration timeout)
{
    startTimer(call->timer, timeout, [&pool, id, call] {
        if (!isPending(pool, id))
            return;
        closeIdleConnections(pool, call->endpoint);
        failCall(pool, id, call->requestSent ? CallOutcome::TimedOut : CallOutcome::NotConnected);
    });
}

/// Retries a call once on a new connection if a reused connection is lost before the response begins and the
/// call may safely be sent again. Returns whether it does.
bool retryOnNewConnection(CallPool& pool, std::uint64_t id, Call& call)
{
    const bool canBeRetried = call.isRepeatable || !call.requestSent;
    if (!call.usesIdleConnection || !canBeRetried || (call.parser && call.parser->got_some()))
        return false;
    call.usesIdleConnection = false;
    ErrorCode ignored;
    call.socket.close(ignored);
    call.buffer.clear();
    connect(pool, id);
    return true;
}

std::optional<ResponseFault> findFault(const Call& call, unsigned interimResponses)
{
    const ResponseHeader& header = call.parser->get();
    const std::optional<ResponseFault> fault = findResponseFault(header);
    if (!fault && isInterim(header) && interimResponses >= maxSkippedResponses)
        return ResponseFault::ManyInterimResponses;
    return fault;
}

/// Ends the call as the other end has sent what is no response.
void rejectResponse(CallPool& pool, std::uint64_t id, const Call& call, ResponseFault fault)
{
    pool.invalidResponses.add(fault);
    Logging::write(Logging::Level::Warning, "call_response_invalid",
        { { "address", call.endpoint.address }, { "port", call.endpoint.port },
            { "fault", Utils::enumName(responseFaultNames, fault) },
            { "status", call.parser->get().result_int() } });
    failCall(pool, id, CallOutcome::NoValidResponse);
}

/// \param interimResponses responses that were received before the final one.
void readResponse(
    CallPool& pool, std::uint64_t id, const std::shared_ptr<Call>& call, unsigned interimResponses = 0)
{
    call->parser.emplace();
    call->parser->body_limit(call->maxResponseBytes);
    call->parser->skip(call->request.method() == http::verb::head);
    http::async_read(call->socket, call->buffer, *call->parser,
        [&pool, id, call, interimResponses](const ErrorCode& error, std::size_t) {
            if (!isPending(pool, id))
                return;
            if (error) {
                if (!retryOnNewConnection(pool, id, *call))
                    failCall(pool, id, CallOutcome::NoValidResponse);
                return;
            }
            if (const std::optional<ResponseFault> fault = findFault(*call, interimResponses)) {
                rejectResponse(pool, id, *call, *fault);
                return;
            }
            // The final response follows; it must not be left for the next call on the connection.
            if (isInterim(call->parser->get())) {
                readResponse(pool, id, call, interimResponses + 1);
                return;
            }
            CallResponse response;
            response.outcome = CallOutcome::Responded;
            response.status = call->parser->get().result_int();
            const bool keepAlive = call->parser->keep_alive() && call->buffer.size() == 0;
            response.body = std::move(call->parser->get().body());
            response.fields = std::move(call->parser->get().base());
            if (keepAlive && !call->ownsConnection)
                keepIdleConnection(pool, *call);
            finishCall(pool, id, std::move(response));
        });
}

/// The other end may read a large request slowly; the deadline of the call limits that.
bool fitsIntoWindow(const Call& call) { return call.request.body().size() <= maxWindowedRequestBytes; }

void sendRequest(CallPool& pool, std::uint64_t id, const std::shared_ptr<Call>& call)
{
    call->requestSent = true;
    // The connection keeps the limit of its first request unless a later one is large.
    if (!call->usesIdleConnection || !fitsIntoWindow(*call))
        setAcknowledgementLimit(call->socket, fitsIntoWindow(*call));
    http::async_write(call->socket, call->request, [&pool, id, call](const ErrorCode& error, std::size_t) {
        if (!isPending(pool, id))
            return;
        if (!error)
            readResponse(pool, id, call);
        else if (!retryOnNewConnection(pool, id, *call))
            failCall(pool, id, CallOutcome::NoValidResponse);
    });
}

void connect(CallPool& pool, std::uint64_t id)
{
    const std::shared_ptr<Call> call = findCall(pool, id);
    if (!call)
        return;
    // TCP retransmits a lost SYN only after one second; a retry of the call is faster.
    armTimer(pool, id, call, std::min(call->deadline - now(), connectTimeout));
    call->socket.async_connect(toTcpEndpoint(call->endpoint), [&pool, id, call](const ErrorCode& error) {
        if (!isPending(pool, id))
            return;
        if (error) {
            failCall(pool, id,
                error == asio::error::connection_refused || error == asio::error::connection_reset
                    ? CallOutcome::ConnectionRefused
                    : CallOutcome::NotConnected);
            return;
        }
        if (now() >= call->deadline) {
            failCall(pool, id, CallOutcome::NotConnected);
            return;
        }
        configureSocket(call->socket);
        // A call that has ended must not arrive later, also if the process is killed.
        discardUnsentDataOnClose(call->socket);
        armTimer(pool, id, call, call->deadline - now());
        sendRequest(pool, id, call);
    });
}

bool acquireIdleConnection(CallPool& pool, Call& call)
{
    const auto found = pool.idleConnections.find(call.endpoint);
    if (found == pool.idleConnections.end())
        return false;
    while (!found->second.empty()) {
        CallPool::IdleConnection connection = std::move(found->second.back());
        found->second.pop_back();
        if (now() - connection.idleSince > maxIdleDuration || isReadableOrClosed(connection.socket))
            continue;
        call.socket = std::move(connection.socket);
        call.usesIdleConnection = true;
        return true;
    }
    pool.idleConnections.erase(found);
    return false;
}

} // namespace Internal

std::uint64_t startCall(CallPool& pool, const Routing::Endpoint& endpoint, Platform::HttpRequest request,
    Utils::Duration timeout, CallHandler handler, std::uint64_t maxResponseBytes, CallRepetition repetition,
    CallConnection connection)
{
    const std::uint64_t id = ++pool.lastId;
    const std::shared_ptr<Call> call
        = std::make_shared<Call>(pool.context, endpoint, std::move(request), std::move(handler));
    pool.calls.emplace(id, call);
    call->deadline = now() + timeout;
    call->maxResponseBytes = maxResponseBytes;
    call->isRepeatable = repetition == CallRepetition::IfSafe && call->request.method() == http::verb::get;
    call->ownsConnection = connection == CallConnection::Own;
    if (!call->ownsConnection && Internal::acquireIdleConnection(pool, *call)) {
        Internal::armTimer(pool, id, call, timeout);
        Internal::sendRequest(pool, id, call);
    } else {
        Internal::connect(pool, id);
    }
    return id;
}

bool isRequestSent(const CallPool& pool, std::uint64_t id)
{
    const auto found = pool.calls.find(id);
    return found != pool.calls.end() && found->second->requestSent;
}

void cancelCall(CallPool& pool, std::uint64_t id)
{
    const auto found = pool.calls.find(id);
    if (found == pool.calls.end())
        return;
    const std::shared_ptr<Call> call = found->second;
    pool.calls.erase(found);
    cancelTimer(call->timer);
    Internal::ErrorCode ignored;
    call->socket.close(ignored);
}

void closeIdleConnections(CallPool& pool, const Routing::Endpoint& endpoint)
{
    pool.idleConnections.erase(endpoint);
}

} // namespace Edge
