#include <gateway/callers.h>

#include <gateway/callerrelay.h>
#include <gateway/callerwriter.h>
#include <gateway/gatewayconstants.h>
#include <gateway/requestfault.h>
#include <gateway/requesthead.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace Gateway {

namespace Internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace leaf = boost::leaf;
using RequestParser = http::request_parser<http::string_body>;

HttpHead headOf(const CallerConnection& caller, const RequestParser& parser)
{
    HttpHead head;
    head.method = std::string(parser.get().method_string());
    head.target = std::string(parser.get().target());
    for (const http::fields::value_type& field : parser.get().base())
        head.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    boost::system::error_code error;
    head.peer = caller.stream.socket().remote_endpoint(error).address().to_string();
    return head;
}

/// Why the request can't be taken now, whatever it asks for.
Requests::Reason refusalOf(const NetworkState& state)
{
    if (state.draining)
        return Requests::Reason::ShuttingDown;
    if (state.routing->configuration == nullptr)
        return Requests::Reason::NoConfiguration;
    if (state.requestsInHand >= state.settings.maxRequests)
        return Requests::Reason::EntryOverloaded;
    return Requests::Reason::None;
}

asio::awaitable<bool> refuse(NetworkState& state, CallerConnection& caller, Requests::Reason reason)
{
    // The body that follows is not read, so the connection can't carry another request.
    caller.keepAlive = false;
    state.metrics.outcomes.add(Requests::outcomeOf(reason));
    state.metrics.refusals.add(reason);
    co_await writeFinal(caller, { Requests::outcomeOf(reason), reason, defaultRetryAfter });
    co_return false;
}

asio::awaitable<bool> readBody(CallerConnection& caller, RequestParser& parser)
{
    boost::system::error_code error;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed(http::status::continue_, caller.version);
        co_await http::async_write(caller.stream, proceed, asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error)
        co_await http::async_read(
            caller.stream, caller.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

/// Reads the head of the next request; false when there is none, or none that can be trusted.
asio::awaitable<bool> readHead(NetworkState& state, CallerConnection& caller, RequestParser& parser)
{
    boost::system::error_code error;
    parser.header_limit(maxRequestHeadBytes);
    caller.stream.expires_after(callerIdleTimeout);
    co_await http::async_read_header(
        caller.stream, caller.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (!error)
        co_return true;
    const bool malformed = error.category() == http::make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
    if (malformed) {
        state.metrics.counters.add(Counter::CallerConnectionsClosedMalformed);
        co_await refuse(state, caller, Requests::Reason::BadRequest);
    }
    co_return false;
}

asio::awaitable<bool> serveChecked(
    NetworkState& state, CallerConnection& caller, RequestParser& parser, CallerRequest& request)
{
    const Declarations::Service& service = state.routing->configuration->services.at(request.service);
    parser.body_limit(service.maxRequestBytes);
    if (parser.content_length() && *parser.content_length() > service.maxRequestBytes)
        co_return co_await refuse(state, caller, Requests::Reason::BodyTooLarge);
    const std::uint64_t reserved
        = parser.content_length().value_or(parser.chunked() ? service.maxRequestBytes : 0);
    if (state.bodyBytes + reserved > state.settings.maxBodyBytes)
        co_return co_await refuse(state, caller, Requests::Reason::EntryOverloaded);
    state.bodyBytes += reserved;
    ++state.requestsInHand;
    bool usable = false;
    if (co_await readBody(caller, parser)) {
        request.body = std::move(parser.get().body());
        caller.stream.expires_never();
        usable = co_await relayRequest(state, caller, request);
    } else {
        co_await refuse(state, caller, Requests::Reason::BadRequest);
    }
    --state.requestsInHand;
    state.bodyBytes -= reserved;
    usable = usable && caller.keepAlive;
    co_return usable;
}

/// Serves one request; false when the connection is to be closed.
asio::awaitable<bool> serveOne(NetworkState& state, CallerConnection& caller)
{
    RequestParser parser;
    if (!co_await readHead(state, caller, parser))
        co_return false;
    caller.version = parser.get().version();
    caller.keepAlive = parser.keep_alive() && !state.draining;
    caller.headRequest = parser.get().method() == http::verb::head;
    caller.answerBegun = false;
    const Requests::Reason refusal = refusalOf(state);
    if (refusal != Requests::Reason::None)
        co_return co_await refuse(state, caller, refusal);
    Requests::Reason fault = Requests::Reason::None;
    CallerRequest request = leaf::try_handle_all(
        [&]() { return readRequestHead(headOf(caller, parser), *state.routing->configuration); },
        [&fault](const RequestFault& found) {
            fault = found.reason;
            return CallerRequest();
        },
        []() { return CallerRequest(); });
    if (fault != Requests::Reason::None)
        co_return co_await refuse(state, caller, fault);
    co_return co_await serveChecked(state, caller, parser, request);
}

asio::awaitable<void> serveCaller(NetworkState& state, asio::ip::tcp::socket socket)
{
    CallerConnection caller(std::move(socket));
    boost::system::error_code ignored;
    caller.stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    while (co_await serveOne(state, caller)) { }
    caller.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    --state.connections;
}

} // namespace Internal

boost::asio::awaitable<void> acceptCallers(NetworkState& state)
{
    namespace asio = boost::asio;
    asio::ip::tcp::acceptor acceptor(state.context,
        asio::ip::tcp::endpoint(asio::ip::make_address(state.settings.address), state.settings.callerPort));
    while (true) {
        boost::system::error_code error;
        asio::ip::tcp::socket socket
            = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error || state.connections >= state.settings.maxCallerConnections)
            continue;
        ++state.connections;
        state.metrics.counters.add(Counter::CallerConnections);
        asio::co_spawn(state.context, Internal::serveCaller(state, std::move(socket)), asio::detached);
    }
}

} // namespace Gateway
