#include <edge/callpool.h>
#include <edge/clock.h>

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

/// Idle connections are closed well before the other side does; upstreams keep theirs for ten seconds.
constexpr Utils::Duration longestIdle = std::chrono::seconds(4);
/// Time to connect, several round trips between regions.
constexpr Utils::Duration connectTime = std::chrono::milliseconds(500);
constexpr std::size_t mostIdlePerEndpoint = 4;
/// Answers of the store may hold megabytes of records.
constexpr std::uint64_t mostAnswerBytes = 8ULL << 20;

std::shared_ptr<Call> findCall(CallPool& pool, std::uint64_t id)
{
    const auto found = pool.calls.find(id);
    return found == pool.calls.end() ? nullptr : found->second;
}

bool isPending(const CallPool& pool, std::uint64_t id) { return pool.calls.contains(id); }

void keepConnection(CallPool& pool, Call& call)
{
    std::deque<CallPool::IdleConnection>& idle = pool.idleConnections[call.endpoint];
    if (idle.size() < mostIdlePerEndpoint)
        idle.push_back({ std::move(call.socket), now() });
}

void finish(CallPool& pool, std::uint64_t id, CallResponse reply)
{
    const auto found = pool.calls.find(id);
    if (found == pool.calls.end())
        return;
    const std::shared_ptr<Call> call = found->second;
    pool.calls.erase(found);
    call->timer.cancel();
    ErrorCode ignored;
    call->socket.close(ignored);
    call->handler(std::move(reply));
}

void fail(CallPool& pool, std::uint64_t id, CallOutcome outcome)
{
    CallResponse reply;
    reply.outcome = outcome;
    finish(pool, id, std::move(reply));
}

void connect(CallPool& pool, std::uint64_t id);

void armTimer(CallPool& pool, std::uint64_t id, const std::shared_ptr<Call>& call, Utils::Duration time)
{
    call->timer.expires_after(time);
    call->timer.async_wait([&pool, id, call](const ErrorCode& error) {
        if (error || !isPending(pool, id))
            return;
        ErrorCode ignored;
        closeIdleConnections(pool, call->endpoint);
        // What has not left yet is discarded: a call that is given up must not arrive later.
        call->socket.set_option(Tcp::socket::linger(true, 0), ignored);
        fail(pool, id, call->requestSent ? CallOutcome::TimedOut : CallOutcome::NotConnected);
    });
}

/// A kept connection that breaks before an answer begins is replaced once, for calls that may be repeated.
bool startAnew(CallPool& pool, std::uint64_t id, Call& call)
{
    const bool repeatable = call.request.method() == http::verb::get || !call.requestSent;
    if (!call.usesIdleConnection || !repeatable || (call.parser && call.parser->got_some()))
        return false;
    call.usesIdleConnection = false;
    ErrorCode ignored;
    call.socket.close(ignored);
    call.buffer.clear();
    connect(pool, id);
    return true;
}

void readAnswer(CallPool& pool, std::uint64_t id, const std::shared_ptr<Call>& call)
{
    call->parser.emplace();
    call->parser->body_limit(mostAnswerBytes);
    http::async_read(
        call->socket, call->buffer, *call->parser, [&pool, id, call](const ErrorCode& error, std::size_t) {
            if (!isPending(pool, id))
                return;
            if (error) {
                if (!startAnew(pool, id, *call))
                    fail(pool, id, CallOutcome::NoValidResponse);
                return;
            }
            CallResponse reply;
            reply.outcome = CallOutcome::Responded;
            reply.status = call->parser->get().result_int();
            const bool keep = call->parser->keep_alive() && call->buffer.size() == 0;
            reply.body = std::move(call->parser->get().body());
            reply.fields = std::move(call->parser->get().base());
            if (keep)
                keepConnection(pool, *call);
            finish(pool, id, std::move(reply));
        });
}

void send(CallPool& pool, std::uint64_t id, const std::shared_ptr<Call>& call)
{
    call->requestSent = true;
    http::async_write(call->socket, call->request, [&pool, id, call](const ErrorCode& error, std::size_t) {
        if (!isPending(pool, id))
            return;
        if (!error)
            readAnswer(pool, id, call);
        else if (!startAnew(pool, id, *call))
            fail(pool, id, CallOutcome::NoValidResponse);
    });
}

void connect(CallPool& pool, std::uint64_t id)
{
    const std::shared_ptr<Call> call = findCall(pool, id);
    if (!call)
        return;
    // A first packet that is lost is sent again only after a second; another call is sooner.
    armTimer(pool, id, call, std::min(call->deadline - now(), connectTime));
    call->socket.async_connect(toTcpEndpoint(call->endpoint), [&pool, id, call](const ErrorCode& error) {
        if (!isPending(pool, id))
            return;
        if (error) {
            fail(pool, id,
                error == asio::error::connection_refused || error == asio::error::connection_reset
                    ? CallOutcome::ConnectionRefused
                    : CallOutcome::NotConnected);
            return;
        }
        configureSocket(call->socket);
        armTimer(pool, id, call, call->deadline - now());
        send(pool, id, call);
    });
}

bool takeIdle(CallPool& pool, Call& call)
{
    const auto found = pool.idleConnections.find(call.endpoint);
    if (found == pool.idleConnections.end())
        return false;
    while (!found->second.empty()) {
        CallPool::IdleConnection connection = std::move(found->second.back());
        found->second.pop_back();
        if (now() - connection.idleSince > longestIdle || isReadableOrClosed(connection.socket))
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
    Utils::Duration timeout, CallHandler handler)
{
    const std::uint64_t id = ++pool.lastId;
    const std::shared_ptr<Call> call
        = std::make_shared<Call>(pool.context, endpoint, std::move(request), std::move(handler));
    pool.calls.emplace(id, call);
    call->deadline = now() + timeout;
    if (Internal::takeIdle(pool, *call)) {
        Internal::armTimer(pool, id, call, timeout);
        Internal::send(pool, id, call);
    } else {
        Internal::connect(pool, id);
    }
    return id;
}

void cancelCall(CallPool& pool, std::uint64_t id)
{
    const auto found = pool.calls.find(id);
    if (found == pool.calls.end())
        return;
    const std::shared_ptr<Call> call = found->second;
    pool.calls.erase(found);
    call->timer.cancel();
    Internal::ErrorCode ignored;
    call->socket.close(ignored);
}

void closeIdleConnections(CallPool& pool, const Routing::Endpoint& endpoint)
{
    pool.idleConnections.erase(endpoint);
}

} // namespace Edge
