#include <edge/statusserver.h>

#include <boost/asio/steady_timer.hpp>
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

/// A peer that neither asks nor takes its answer is cut off after this time.
constexpr std::chrono::seconds peerTime { 15 };

struct Peer {
    explicit Peer(Tcp::socket socket)
        : timer(socket.get_executor())
        , socket(std::move(socket))
    {
    }

    boost::asio::steady_timer timer;
    Tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::empty_body>> parser;
    HttpResponse response;
};

void serveNext(StatusServer& server, const std::shared_ptr<Peer>& peer);

void answerPeer(StatusServer& server, const std::shared_ptr<Peer>& peer)
{
    const boost::string_view target = peer->parser->get().target();
    const bool keepAlive = peer->parser->keep_alive();
    peer->response = server.handler({ target.data(), target.size() });
    peer->response.keep_alive(keepAlive);
    peer->response.prepare_payload();
    http::async_write(
        peer->socket, peer->response, [&server, peer, keepAlive](const ErrorCode& error, std::size_t) {
            if (!error && keepAlive)
                serveNext(server, peer);
            else
                peer->timer.cancel();
        });
}

void serveNext(StatusServer& server, const std::shared_ptr<Peer>& peer)
{
    peer->parser.emplace();
    peer->timer.expires_after(peerTime);
    peer->timer.async_wait([peer](const ErrorCode& error) {
        ErrorCode ignored;
        if (!error)
            peer->socket.close(ignored);
    });
    http::async_read(
        peer->socket, peer->buffer, *peer->parser, [&server, peer](const ErrorCode& error, std::size_t) {
            if (error)
                peer->timer.cancel();
            else
                answerPeer(server, peer);
        });
}

void acceptNext(StatusServer& server)
{
    server.acceptor.async_accept([&server](const ErrorCode& error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error) {
            configureSocket(socket);
            serveNext(server, std::make_shared<Peer>(std::move(socket)));
        }
        acceptNext(server);
    });
}

} // namespace Internal

void startServing(StatusServer& server, const Tcp::endpoint& endpoint)
{
    server.acceptor.open(endpoint.protocol());
    server.acceptor.set_option(Tcp::acceptor::reuse_address(true));
    server.acceptor.bind(endpoint);
    server.acceptor.listen();
    Internal::acceptNext(server);
}

} // namespace Edge
