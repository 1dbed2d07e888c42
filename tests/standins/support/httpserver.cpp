#include <standins/support/httpserver.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <sstream>

namespace StandInSupport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t maxRequestBytes = std::size_t(4) << 20;

using Parser = http::request_parser<http::string_body>;
using Response = http::response<http::string_body>;

std::map<std::string, std::string> queryOf(const std::string& text)
{
    std::map<std::string, std::string> query;
    std::istringstream fields(text);
    std::string field;
    while (std::getline(fields, field, '&')) {
        const std::size_t equals = field.find('=');
        if (equals != std::string::npos)
            query[field.substr(0, equals)] = field.substr(equals + 1);
    }
    return query;
}

HttpRequest requestFrom(const http::request<http::string_body>& message)
{
    const std::string target(message.target());
    const std::size_t mark = target.find('?');
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.path = target.substr(0, mark);
    request.query
        = mark == std::string::npos ? std::map<std::string, std::string>() : queryOf(target.substr(mark + 1));
    request.body = message.body();
    return request;
}

asio::awaitable<void> sendTruncated(beast::tcp_stream& stream, const HttpReply& reply)
{
    beast::error_code error;
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(reply.body.size())
        + "\r\n\r\n" + reply.body.substr(0, reply.body.size() / 2);
    co_await asio::async_write(stream, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
}

asio::awaitable<bool> sendReply(beast::tcp_stream& stream, const HttpReply& reply, bool keepAlive)
{
    beast::error_code error;
    Response response(static_cast<http::status>(reply.status), 11);
    response.set(http::field::content_type, "application/json");
    response.keep_alive(keepAlive);
    response.body() = reply.body;
    response.prepare_payload();
    co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
    co_return !error && keepAlive;
}

/// Answers one request; false when the connection ends.
asio::awaitable<bool> serveOne(HttpServer& server, beast::tcp_stream& stream, beast::flat_buffer& buffer)
{
    beast::error_code error;
    Parser parser;
    parser.body_limit(maxRequestBytes);
    co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return false;
    const bool keepAlive = parser.get().keep_alive();
    const HttpReply reply = co_await server.handler(requestFrom(parser.get()));
    if (reply.drop)
        co_return false;
    if (reply.truncate) {
        co_await sendTruncated(stream, reply);
        co_return false;
    }
    co_return co_await sendReply(stream, reply, keepAlive);
}

asio::awaitable<void> serveConnection(HttpServer& server, asio::ip::tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (co_await serveOne(server, stream, buffer)) { }
    beast::error_code ignored;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

asio::awaitable<void> acceptConnections(HttpServer& server)
{
    while (server.acceptor.is_open()) {
        beast::error_code error;
        asio::ip::tcp::socket socket
            = co_await server.acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            asio::co_spawn(
                server.acceptor.get_executor(), serveConnection(server, std::move(socket)), asio::detached);
    }
}

boost::system::error_code parseEndpoint(const std::string& listen, asio::ip::tcp::endpoint& endpoint)
{
    boost::system::error_code error;
    const std::size_t colon = listen.rfind(':');
    if (colon == std::string::npos)
        return make_error_code(boost::system::errc::invalid_argument);
    const asio::ip::address address = asio::ip::make_address(listen.substr(0, colon), error);
    std::uint16_t port = 0;
    const char* const end = listen.data() + listen.size();
    const std::from_chars_result parsed = std::from_chars(listen.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return make_error_code(boost::system::errc::invalid_argument);
    endpoint = asio::ip::tcp::endpoint(address, port);
    return error;
}

} // namespace

boost::system::error_code startServing(HttpServer& server, const std::string& listen, HttpHandler handler)
{
    asio::ip::tcp::endpoint endpoint;
    boost::system::error_code error = parseEndpoint(listen, endpoint);
    if (!error)
        server.acceptor.open(endpoint.protocol(), error);
    if (!error)
        server.acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        server.acceptor.bind(endpoint, error);
    if (!error)
        server.acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return error;
    server.handler = std::move(handler);
    asio::co_spawn(server.acceptor.get_executor(), acceptConnections(server), asio::detached);
    return error;
}

std::uint16_t portOf(const HttpServer& server)
{
    boost::system::error_code error;
    return server.acceptor.local_endpoint(error).port();
}

} // namespace StandInSupport
