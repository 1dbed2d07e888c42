#include "headfirstupstream.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace EdgeTest {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

constexpr unsigned addressNumber = 92;

/// The value of the header field \a name; empty if there is none.
std::string fieldOf(const std::string& header, const std::string& name)
{
    const std::size_t start = header.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    const std::size_t value = start + name.size() + 4;
    return header.substr(value, header.find("\r\n", value) - value);
}

void readHeader(HeadFirstUpstream& upstream, const HeadFirstSessionPtr& session)
{
    asio::async_read_until(session->socket, asio::dynamic_buffer(session->received), "\r\n\r\n",
        [&upstream, session](const ErrorCode& error, std::size_t headerBytes) {
            if (error)
                return;
            const std::string length = fieldOf(session->received, "Content-Length");
            session->requestId = fieldOf(session->received, "X-Request-Id");
            session->requestBytes = headerBytes + (length.empty() ? 0 : std::stoul(length));
            ++upstream.requests;
            upstream.script(session);
        });
}

void acceptNext(HeadFirstUpstream& upstream)
{
    upstream.acceptor.async_accept([&upstream](const ErrorCode& error, Tcp::socket socket) {
        if (error)
            return;
        readHeader(upstream, std::make_shared<HeadFirstSession>(std::move(socket)));
        acceptNext(upstream);
    });
}

} // namespace

void startHeadFirstUpstream(HeadFirstUpstream& upstream, const std::string& id)
{
    const std::string address = uniqueLoopbackAddress(addressNumber);
    upstream.acceptor.open(Tcp::v4());
    upstream.acceptor.bind({ asio::ip::make_address(address), 0 });
    upstream.acceptor.listen();
    acceptNext(upstream);
    StandInStore::putRecord(upstream.environment.store, "keyed.servers", id,
        R"({"address":")" + address + ":" + std::to_string(endpointOf(upstream).port)
            + R"(","info":{"service":"plain","version":"v1","zone":"z1","slots":20},)"
            + R"("status":{"state":"ready","seq_no":1,"cold_left":"0ms"},"born":1})");
}

Routing::Endpoint endpointOf(const HeadFirstUpstream& upstream)
{
    return { uniqueLoopbackAddress(addressNumber), upstream.acceptor.local_endpoint().port() };
}

void readRestLater(TestEnvironment& environment, const HeadFirstSessionPtr& session,
    std::chrono::milliseconds delay, std::function<void()> done)
{
    const std::shared_ptr<asio::steady_timer> timer
        = std::make_shared<asio::steady_timer>(environment.context, delay);
    timer->async_wait([session, timer, done = std::move(done)](const ErrorCode&) {
        const std::size_t left
            = session->requestBytes - std::min(session->requestBytes, session->received.size());
        asio::async_read(session->socket, asio::dynamic_buffer(session->received),
            asio::transfer_exactly(left), [session, done](const ErrorCode& error, std::size_t) {
                if (!error)
                    done();
            });
    });
}

std::string responseHead(const HeadFirstSessionPtr& session, const std::string& fields)
{
    return "HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\nX-Request-Id: " + session->requestId + "\r\n" + fields
        + "\r\n";
}

void writeAll(const HeadFirstSessionPtr& session, const std::string& bytes)
{
    const std::shared_ptr<const std::string> kept = std::make_shared<const std::string>(bytes);
    asio::async_write(
        session->socket, asio::buffer(*kept), [session, kept](const ErrorCode&, std::size_t) {});
}

} // namespace EdgeTest
