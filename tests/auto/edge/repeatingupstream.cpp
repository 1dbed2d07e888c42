#include "repeatingupstream.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace EdgeTest {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

/// Longer than the delay before a rejected request is sent again, shorter than that and the work.
constexpr std::chrono::milliseconds repetitionDelay = 250ms;
constexpr std::chrono::milliseconds work = 300ms;

struct Session {
    explicit Session(Tcp::socket socket)
        : socket(std::move(socket))
    {
    }

    Tcp::socket socket;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
};

using SessionPtr = std::shared_ptr<Session>;

void respond(RepeatingUpstream& upstream, const SessionPtr& session, std::chrono::milliseconds delay,
    const std::string& response)
{
    const std::shared_ptr<asio::steady_timer> timer
        = std::make_shared<asio::steady_timer>(upstream.context, delay);
    timer->async_wait([session, timer, response](const ErrorCode&) {
        ErrorCode ignored;
        asio::write(session->socket, asio::buffer(response), ignored);
    });
}

void handleRequest(RepeatingUpstream& upstream, const SessionPtr& session)
{
    const std::string target(session->request.target());
    if (target == "/grant" || target == "/release") {
        ++upstream.grants;
        respond(upstream, session, 0ms, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    const std::string id = "X-Request-Id: " + std::string(session->request["X-Request-Id"]) + "\r\n";
    if (++upstream.requests == 1) {
        const std::string rejection = "HTTP/1.1 421 Misdirected Request\r\n" + id
            + "X-Not-Executed: 1\r\nX-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n";
        respond(upstream, session, 0ms, rejection);
        respond(upstream, session, repetitionDelay, rejection);
        return;
    }
    const std::string body = "ran " + std::to_string(++upstream.ran);
    respond(upstream, session, work,
        "HTTP/1.1 200 OK\r\n" + id + "X-Server-Stamp: stamp\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body);
}

void readNext(RepeatingUpstream& upstream, const SessionPtr& session)
{
    session->request = {};
    http::async_read(session->socket, session->buffer, session->request,
        [&upstream, session](const ErrorCode& error, std::size_t) {
            if (error)
                return;
            handleRequest(upstream, session);
            readNext(upstream, session);
        });
}

void acceptNext(RepeatingUpstream& upstream)
{
    upstream.acceptor.async_accept([&upstream](const ErrorCode& error, Tcp::socket socket) {
        if (error)
            return;
        readNext(upstream, std::make_shared<Session>(std::move(socket)));
        acceptNext(upstream);
    });
}

} // namespace

RepeatingUpstream::RepeatingUpstream(asio::io_context& context)
    : context(context)
    , acceptor(context, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
    acceptNext(*this);
}

std::string addressOf(const RepeatingUpstream& upstream)
{
    return "127.0.0.1:" + std::to_string(upstream.acceptor.local_endpoint().port());
}

} // namespace EdgeTest
