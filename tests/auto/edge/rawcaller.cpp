#include "rawcaller.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace EdgeTest {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

void readMore(RawCaller& caller)
{
    caller.socket.async_read_some(
        asio::buffer(caller.chunk), [&caller](const boost::system::error_code& error, std::size_t bytes) {
            if (error == asio::error::operation_aborted)
                return;
            caller.received.append(caller.chunk, 0, bytes);
            caller.closed = static_cast<bool>(error);
            if (!error)
                readMore(caller);
        });
}

} // namespace

std::string requestBytes(const std::string& path, const std::string& fields, const std::string& body)
{
    static unsigned lastRequest = 0;
    return (body.empty() ? "GET " : "POST ") + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: raw"
        + std::to_string(++lastRequest) + "\r\n" + fields
        + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

void connectAndSend(RawCaller& caller, const Edge::Service& vm, const std::string& bytes)
{
    connectAndSend(caller, vm.node.settings.callerEndpoint, bytes);
}

void connectAndSend(RawCaller& caller, const Routing::Endpoint& endpoint, const std::string& bytes)
{
    connectWithoutReading(caller, endpoint, bytes);
    startReading(caller);
}

void connectWithoutReading(RawCaller& caller, const Routing::Endpoint& endpoint, const std::string& bytes)
{
    caller.socket.connect({ asio::ip::make_address(endpoint.address), endpoint.port });
    sendBytes(caller, bytes);
}

void startReading(RawCaller& caller) { readMore(caller); }

void sendBytes(RawCaller& caller, const std::string& bytes)
{
    asio::write(caller.socket, asio::buffer(bytes));
}

std::vector<RawResponse> responsesOf(const RawCaller& caller)
{
    std::vector<RawResponse> responses;
    std::string_view left = caller.received;
    while (!left.empty()) {
        http::response_parser<http::string_body> parser;
        parser.eager(true);
        boost::system::error_code error;
        const std::size_t used = parser.put(asio::buffer(left.data(), left.size()), error);
        if (error || !parser.is_done())
            break;
        left.remove_prefix(used);
        if (http::to_status_class(parser.get().result_int()) != http::status_class::informational)
            responses.push_back(
                { parser.get().result_int(), parser.get().body(), parser.get().keep_alive() });
    }
    return responses;
}

} // namespace EdgeTest
