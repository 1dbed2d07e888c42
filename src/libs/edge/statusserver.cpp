#include <edge/guardedtimer.h>
#include <edge/statusserver.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <memory>
#include <optional>

namespace Edge {

namespace http = boost::beast::http;

namespace Internal {

using ErrorCode = boost::system::error_code;

/// Connections of clients that do not send a request or read the response within this time are closed.
constexpr std::chrono::seconds clientTimeout { 15 };

struct Client {
    explicit Client(Tcp::socket socket)
        : timer(socket.get_executor())
        , socket(std::move(socket))
        , buffer(maxUnparsedBytes)
    {
    }

    GuardedTimer timer;
    Tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::empty_body>> parser;
    HttpResponse response;
};

void readNextRequest(StatusServer& server, const std::shared_ptr<Client>& client);

void sendResponse(StatusServer& server, const std::shared_ptr<Client>& client)
{
    const boost::string_view target = client->parser->get().target();
    const bool keepAlive = client->parser->keep_alive();
    client->response = server.handler({ target.data(), target.size() });
    client->response.keep_alive(keepAlive);
    client->response.prepare_payload();
    http::async_write(
        client->socket, client->response, [&server, client, keepAlive](const ErrorCode& error, std::size_t) {
            if (!error && keepAlive)
                readNextRequest(server, client);
            else
                cancelTimer(client->timer);
        });
}

void readNextRequest(StatusServer& server, const std::shared_ptr<Client>& client)
{
    client->parser.emplace();
    startTimer(client->timer, clientTimeout, [client] {
        ErrorCode ignored;
        client->socket.close(ignored);
    });
    http::async_read(client->socket, client->buffer, *client->parser,
        [&server, client](const ErrorCode& error, std::size_t) {
            if (error)
                cancelTimer(client->timer);
            else
                sendResponse(server, client);
        });
}

void acceptNextClient(StatusServer& server)
{
    server.acceptor.async_accept([&server](const ErrorCode& error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error) {
            configureSocket(socket);
            readNextRequest(server, std::make_shared<Client>(std::move(socket)));
        }
        acceptNextClient(server);
    });
}

} // namespace Internal

void startServing(StatusServer& server, const Tcp::endpoint& endpoint)
{
    server.acceptor.open(endpoint.protocol());
    server.acceptor.set_option(Tcp::acceptor::reuse_address(true));
    server.acceptor.bind(endpoint);
    server.acceptor.listen();
    Internal::acceptNextClient(server);
}

} // namespace Edge
