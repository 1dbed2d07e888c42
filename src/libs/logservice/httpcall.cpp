#include <logservice/httpcall.h>
#include <logservice/platformconstants.h>
#include <logservice/platformerror.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/leaf/error.hpp>

#include <optional>

namespace LogService::Internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace leaf = boost::leaf;

namespace {

using Request = http::request<http::string_body>;
using Parser = http::response_parser<http::string_body>;

/// One exchange as it goes on.
struct Exchange {
    Request request;
    asio::ip::tcp::endpoint peer;
    std::optional<Parser> parser;
    bool isConnected = false;
    bool isDone = false;
    beast::error_code error;
};

Request makeRequest(
    const Endpoint& endpoint, HttpMethod method, const std::string& target, const std::string& body)
{
    Request request(method == HttpMethod::Get ? http::verb::get : http::verb::post, target, 11);
    request.set(http::field::host, endpoint.address + ":" + std::to_string(endpoint.port));
    request.set(http::field::connection, "close");
    if (method == HttpMethod::Post) {
        request.set(http::field::content_type, "application/json");
        request.body() = body;
    }
    request.prepare_payload();
    return request;
}

asio::awaitable<void> runExchange(Exchange& exchange, beast::tcp_stream& stream)
{
    co_await stream.async_connect(exchange.peer, asio::redirect_error(asio::use_awaitable, exchange.error));
    if (exchange.error)
        co_return;
    exchange.isConnected = true;
    co_await http::async_write(
        stream, exchange.request, asio::redirect_error(asio::use_awaitable, exchange.error));
    if (exchange.error)
        co_return;
    beast::flat_buffer buffer(maxAnswerHeaderBytes);
    co_await http::async_read(
        stream, buffer, *exchange.parser, asio::redirect_error(asio::use_awaitable, exchange.error));
    exchange.isDone = !exchange.error;
}

PlatformError errorOf(const Exchange& exchange, HttpMethod method)
{
    const bool isLate = !exchange.error || exchange.error == beast::error::timeout;
    if (!exchange.isConnected)
        return isLate ? PlatformError::Timeout : PlatformError::Unreachable;
    if (method == HttpMethod::Post)
        return PlatformError::AnswerLost;
    if (isLate)
        return PlatformError::Timeout;
    if (exchange.error == http::error::body_limit || exchange.error == http::error::header_limit
        || exchange.error == http::error::buffer_overflow)
        return PlatformError::AnswerTooLarge;
    const bool isBroken = exchange.error == http::error::end_of_stream
        || exchange.error.category() != make_error_code(http::error::end_of_stream).category();
    return isBroken ? PlatformError::Unreachable : PlatformError::Malformed;
}

} // namespace

leaf::result<HttpAnswer> callHttp(const Endpoint& endpoint, HttpMethod method, const std::string& target,
    const std::string& body, Utils::Duration timeout)
{
    beast::error_code failure;
    const asio::ip::address address = asio::ip::make_address(endpoint.address, failure);
    if (failure || endpoint.port == 0)
        return leaf::new_error(PlatformError::BadEndpoint);
    Exchange exchange;
    exchange.request = makeRequest(endpoint, method, target, body);
    exchange.peer = asio::ip::tcp::endpoint(address, endpoint.port);
    exchange.parser.emplace();
    exchange.parser->body_limit(maxAnswerBytes);
    exchange.parser->header_limit(maxAnswerHeaderBytes);
    asio::io_context context(1);
    beast::tcp_stream stream(context);
    stream.expires_after(timeout);
    asio::co_spawn(context, runExchange(exchange, stream), asio::detached);
    context.run();
    if (!exchange.isDone)
        return leaf::new_error(errorOf(exchange, method));
    return HttpAnswer { exchange.parser->get().result_int(), std::move(exchange.parser->get().body()) };
}

} // namespace LogService::Internal
