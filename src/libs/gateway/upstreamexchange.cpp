#include <gateway/upstreamexchange.h>

#include <gateway/gatewayconstants.h>
#include <gateway/heldworks.h>
#include <gateway/linkmeter.h>
#include <gateway/poolpolicy.h>
#include <gateway/requesthead.h>
#include <gateway/upstreamanswer.h>
#include <gateway/upstreamconnections.h>
#include <wire/wireconstants.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <chrono>

namespace Gateway {

namespace Internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Dispatch::WorkResult;
using Dispatch::WorkResultKind;
using AnswerParser = http::response_parser<http::buffer_body>;

/// One run of a work at its upstream.
struct Exchange {
    NetworkState& state;
    HeldWork& work;
    const RunWork& run;
    std::unique_ptr<UpstreamConnection> connection;
    AnswerParser parser;
    Wire::AnswerHead head;
    /// Bytes of the answer that have been read and not been sent on.
    std::string buffered;
    /// The whole answer, while it is small enough to be kept for repeats.
    std::string kept;
    std::uint64_t answerBytes = 0;
    Utils::Instant sentAt {};
};

WorkResult resultOf(WorkResultKind kind, Requests::Reason reason = Requests::Reason::None)
{
    WorkResult result;
    result.kind = kind;
    result.reason = reason;
    return result;
}

asio::awaitable<std::unique_ptr<UpstreamConnection>> openConnection(
    NetworkState& state, const Settings::Endpoint& place)
{
    std::unique_ptr<UpstreamConnection> connection = co_await openUpstream(state.context, place);
    if (connection != nullptr)
        state.metrics.counters.add(Counter::UpstreamConnectionsOpened);
    co_return connection;
}

/// The id under which upstreams know a work; no other instance gives out the same.
std::string upstreamRequestId(const NetworkState& state, const Requests::WorkId& work)
{
    return state.settings.name.value + "-" + std::to_string(state.incarnation) + "-"
        + std::to_string(work.value);
}

http::request<http::string_body> requestFor(
    const NetworkState& state, const HeldWork& work, const RunWork& run)
{
    http::request<http::string_body> request;
    request.method_string(work.message.method);
    request.target(work.message.target);
    for (const Wire::HttpHeader& header : work.message.headers) {
        if (!isHopHeader(header.name) && !isSystemHeader(header.name))
            request.insert(header.name, header.value);
    }
    const Utils::Duration left = work.deadline - Utils::monotonicNow();
    request.set("Fencing-Token", std::to_string(run.level.token) + "." + std::to_string(run.level.epoch));
    request.set("Shard", work.message.shard.value);
    request.set("Request-Id", upstreamRequestId(state, work.id));
    request.set("Request-Rank", work.message.rank.value);
    request.set("Request-Timeout-Ms", std::to_string(std::max<std::int64_t>(Utils::toMilliseconds(left), 1)));
    if (!work.message.requestId.value.empty())
        request.set("Idempotency-Key", work.message.requestId.value);
    request.body() = work.message.body;
    request.prepare_payload();
    return request;
}

/// Tells a crash from a lost connection: a crashed upstream refuses the next one.
asio::awaitable<WorkResult> lostOrCrashed(Exchange& exchange)
{
    const std::unique_ptr<UpstreamConnection> probe
        = co_await openConnection(exchange.state, exchange.run.endpoint);
    co_return resultOf(probe == nullptr ? WorkResultKind::Crashed : WorkResultKind::Lost);
}

asio::awaitable<WorkResult> failed(Exchange& exchange, boost::system::error_code error)
{
    if (error == beast::error::timeout)
        co_return resultOf(WorkResultKind::TimedOut);
    if (error.category() == http::make_error_code(http::error::bad_line_ending).category()
        && error != http::error::end_of_stream && error != http::error::partial_message)
        exchange.state.metrics.counters.add(Counter::UpstreamAnswersMalformed);
    co_return co_await lostOrCrashed(exchange);
}

Utils::Duration retryAfterOf(const http::response_header<>& header)
{
    const beast::string_view text = header["Retry-After-Ms"];
    std::int64_t milliseconds = 0;
    const std::from_chars_result parsed
        = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (parsed.ec != std::errc() || milliseconds < 0)
        return {};
    return std::min<Utils::Duration>(std::chrono::milliseconds(milliseconds), std::chrono::minutes(10));
}

void readHead(Exchange& exchange)
{
    const http::response_header<>& header = exchange.parser.get().base();
    exchange.head.status = header.result_int();
    for (const http::fields::value_type& field : header) {
        const bool length = field.name() == http::field::content_length;
        if (length || !isHopHeader(field.name_string()))
            exchange.head.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
}

/// Reads the next bytes of the body into \c buffered.
asio::awaitable<boost::system::error_code> readPart(Exchange& exchange)
{
    std::vector<char>& chunk = exchange.connection->chunk;
    http::buffer_body::value_type& body = exchange.parser.get().body();
    body.data = chunk.data();
    body.size = chunk.size();
    boost::system::error_code error;
    co_await http::async_read_some(exchange.connection->stream, exchange.connection->buffer, exchange.parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error == http::error::need_buffer)
        error = {};
    const std::size_t read = chunk.size() - body.size;
    exchange.buffered.append(chunk.data(), read);
    exchange.answerBytes += read;
    if (exchange.answerBytes <= answerHoldBytes)
        exchange.kept.append(chunk.data(), read);
    co_return error;
}

void passOn(Exchange& exchange)
{
    if (!exchange.work.answerBegun) {
        exchange.work.answerBegun = true;
        sendToOrigin(exchange.state, exchange.work, exchange.head);
    }
    if (exchange.buffered.empty())
        return;
    exchange.work.uncredited += exchange.buffered.size();
    sendToOrigin(exchange.state, exchange.work, Wire::AnswerChunk { 0, std::move(exchange.buffered) });
    exchange.buffered.clear();
}

asio::awaitable<void> pauseFor(NetworkState& state, Utils::Duration duration)
{
    boost::system::error_code error;
    asio::steady_timer timer(state.context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

/// The VM that the answer goes to; this one for its own callers.
Utils::VmId entryOf(const Exchange& exchange)
{
    if (!exchange.work.origin.link)
        return exchange.state.settings.name;
    const auto link = exchange.state.links.find(*exchange.work.origin.link);
    return link == exchange.state.links.end() ? Utils::VmId() : link->second->vm;
}

/// Holds a large answer back while the link to the entry's region has no room for its rank.
asio::awaitable<void> awaitLink(Exchange& exchange, std::uint64_t bytes)
{
    const Utils::Instant limit = Utils::monotonicNow() + callerTransferTimeout;
    while (!exchange.work.abandoned && Utils::monotonicNow() < limit) {
        const Requests::LinkDecision crossing
            = takeLinkTo(exchange.state, entryOf(exchange), exchange.work.message.rank, bytes);
        if (crossing.allowed)
            co_return;
        co_await pauseFor(exchange.state, crossing.retryAfter);
    }
}

/// Waits until the entry has room; false when it made no progress for long, or has gone.
asio::awaitable<bool> awaitCredit(Exchange& exchange)
{
    HeldWork& work = exchange.work;
    const Utils::Instant limit = Utils::monotonicNow() + callerTransferTimeout;
    while (work.uncredited >= answerWindowBytes && !work.abandoned) {
        if (Utils::monotonicNow() >= limit)
            co_return false;
        boost::system::error_code error;
        work.credited.expires_at(limit);
        co_await work.credited.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    co_return !work.abandoned || !work.message.idempotent;
}

asio::awaitable<WorkResult> passBody(Exchange& exchange)
{
    while (!exchange.parser.is_done()) {
        exchange.connection->stream.expires_after(callerTransferTimeout);
        if (!exchange.work.answerBegun)
            exchange.connection->stream.expires_at(exchange.work.deadline);
        const boost::system::error_code error = co_await readPart(exchange);
        if (error)
            co_return co_await failed(exchange, error);
        if (exchange.work.answerBegun || exchange.answerBytes > answerHoldBytes) {
            co_await awaitLink(exchange, exchange.buffered.size());
            passOn(exchange);
            if (!co_await awaitCredit(exchange))
                co_return resultOf(WorkResultKind::Lost);
        }
    }
    WorkResult result = resultOf(WorkResultKind::Done);
    result.answerBytes = exchange.answerBytes;
    result.wholeAnswer = exchange.answerBytes <= answerHoldBytes;
    co_return result;
}

asio::awaitable<WorkResult> readNotRun(Exchange& exchange)
{
    const http::response_header<>& header = exchange.parser.get().base();
    WorkResult result = resultOf(WorkResultKind::NotRun, reasonOfNotRun(header["Not-Run"]));
    result.retryAfter = retryAfterOf(header);
    while (!exchange.parser.is_done()) {
        if (co_await readPart(exchange))
            break;
    }
    co_return result;
}

asio::awaitable<WorkResult> sendAndRead(Exchange& exchange)
{
    beast::tcp_stream& stream = exchange.connection->stream;
    const http::request<http::string_body> request = requestFor(exchange.state, exchange.work, exchange.run);
    // The last look at the lease: nothing but the write follows.
    if (Utils::monotonicNow() >= exchange.run.validUntil)
        co_return resultOf(WorkResultKind::NotRun, Requests::Reason::StaleToken);
    exchange.sentAt = Utils::monotonicNow();
    boost::system::error_code error;
    stream.expires_at(exchange.work.deadline);
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return co_await failed(exchange, error);
    exchange.parser.header_limit(maxAnswerHeadBytes);
    exchange.parser.body_limit(boost::none);
    if (exchange.work.message.method == "HEAD")
        exchange.parser.skip(true);
    co_await http::async_read_header(stream, exchange.connection->buffer, exchange.parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return co_await failed(exchange, error);
    if (exchange.parser.get().base().count("Not-Run") > 0)
        co_return co_await readNotRun(exchange);
    readHead(exchange);
    co_return co_await passBody(exchange);
}

void keepConnection(Exchange& exchange)
{
    if (!exchange.parser.is_done() || !exchange.parser.keep_alive())
        return;
    exchange.connection->lastUsed = Utils::monotonicNow();
    exchange.state.idle[exchange.run.upstream].push_back(std::move(exchange.connection));
}

void keepAnswer(Exchange& exchange)
{
    constexpr std::size_t maxUndecided = 4096;
    if (exchange.work.message.idempotent)
        return;
    std::map<Requests::WorkId, StoredAnswer>& undecided = exchange.state.undecided;
    undecided[exchange.work.id] = { exchange.head, std::move(exchange.kept) };
    if (undecided.size() > maxUndecided)
        undecided.erase(undecided.begin());
}

void finishDone(Exchange& exchange, const WorkResult& result)
{
    chargeLinkTo(exchange.state, entryOf(exchange), exchange.work.message.rank, exchange.buffered.size());
    passOn(exchange);
    sendToOrigin(exchange.state, exchange.work, Wire::AnswerEnd { 0, true });
    if (result.wholeAnswer)
        keepAnswer(exchange);
    forgetWork(exchange.state, exchange.work.id);
}

} // namespace Internal

boost::asio::awaitable<void> runExchange(NetworkState& state, std::shared_ptr<HeldWork> work, RunWork run)
{
    Internal::Exchange exchange { state, *work, run, nullptr, {}, {}, {}, {}, 0, {} };
    const Utils::Duration reuse = work->message.idempotent ? idleReuse : provenReuse;
    exchange.connection = takeIdle(state.idle[run.upstream], reuse);
    if (exchange.connection == nullptr)
        exchange.connection = co_await Internal::openConnection(state, run.endpoint);
    Dispatch::WorkResult result
        = Internal::resultOf(Dispatch::WorkResultKind::NotRun, Requests::Reason::UpstreamUnreachable);
    if (exchange.connection != nullptr)
        result = co_await Internal::sendAndRead(exchange);
    if (exchange.sentAt != Utils::Instant())
        result.serviceTime = Utils::monotonicNow() - exchange.sentAt;
    if (result.kind == Dispatch::WorkResultKind::Done)
        Internal::finishDone(exchange, result);
    if (result.kind == Dispatch::WorkResultKind::TimedOut)
        boost::asio::co_spawn(
            state.context, cancelAtUpstream(state, work->id, run.upstream), boost::asio::detached);
    if (exchange.connection != nullptr)
        Internal::keepConnection(exchange);
    while (!state.toDispatch(WorkFinished { work->message.pool, work->id, result })) {
        state.metrics.counters.add(Counter::RingFull);
        co_await Internal::pauseFor(state, std::chrono::milliseconds(1));
    }
}

boost::asio::awaitable<void> cancelAtUpstream(
    NetworkState& state, Requests::WorkId work, Utils::UpstreamId upstream)
{
    namespace http = boost::beast::http;
    if (state.routing->configuration == nullptr)
        co_return;
    const Declarations::Upstream* declared = findUpstream(*state.routing->configuration, upstream);
    if (declared == nullptr)
        co_return;
    // Named, since GCC 12 destroys such a temporary twice when it stands in a co_await expression.
    const Settings::Endpoint place { declared->address, declared->port };
    const std::unique_ptr<UpstreamConnection> connection = co_await Internal::openConnection(state, place);
    if (connection == nullptr)
        co_return;
    http::request<http::string_body> request(http::verb::post, "/control/cancel", 11);
    request.body() = boost::json::serialize(
        boost::json::object { { "request", Internal::upstreamRequestId(state, work) } });
    request.prepare_payload();
    boost::system::error_code error;
    connection->stream.expires_after(controlTimeout);
    co_await http::async_write(
        connection->stream, request, boost::asio::redirect_error(boost::asio::use_awaitable, error));
    http::response<http::string_body> response;
    if (!error)
        co_await http::async_read(connection->stream, connection->buffer, response,
            boost::asio::redirect_error(boost::asio::use_awaitable, error));
}

} // namespace Gateway
