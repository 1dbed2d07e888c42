#include "slowserver.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace EdgeTest {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;
using SocketPtr = std::shared_ptr<Tcp::socket>;

namespace {

void readRequest(SlowServer& server, const SocketPtr& socket);

void respond(SlowServer& server, const SocketPtr& socket)
{
    const std::shared_ptr<std::string> response
        = std::make_shared<std::string>("HTTP/1.1 " + server.head + "\r\nContent-Length: 0\r\n\r\n");
    asio::async_write(
        *socket, asio::buffer(*response), [&server, socket, response](const ErrorCode& error, std::size_t) {
            if (!error)
                readRequest(server, socket);
        });
}

void readRequest(SlowServer& server, const SocketPtr& socket)
{
    const std::shared_ptr<std::string> text = std::make_shared<std::string>();
    asio::async_read_until(*socket, asio::dynamic_buffer(*text), "\r\n\r\n",
        [&server, socket, text](const ErrorCode& error, std::size_t) {
            if (error)
                return;
            server.requests.push_back(text->substr(0, text->find("\r\n")));
            const std::shared_ptr<asio::steady_timer> timer
                = std::make_shared<asio::steady_timer>(server.context, server.delay);
            timer->async_wait([&server, socket, timer](const ErrorCode&) { respond(server, socket); });
        });
}

void acceptNext(SlowServer& server)
{
    const SocketPtr socket = std::make_shared<Tcp::socket>(server.context);
    server.acceptor.async_accept(*socket, [&server, socket](const ErrorCode& error) {
        if (error)
            return;
        readRequest(server, socket);
        acceptNext(server);
    });
}

} // namespace

SlowServer::SlowServer(asio::io_context& context, std::string head, std::chrono::milliseconds delay)
    : context(context)
    , acceptor(context, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , head(std::move(head))
    , delay(delay)
{
    acceptNext(*this);
}

std::string addressOf(const SlowServer& server)
{
    return "127.0.0.1:" + std::to_string(server.acceptor.local_endpoint().port());
}

} // namespace EdgeTest
