#include <standins/upstream/session.h>

#include <standins/upstream/controlroutes.h>
#include <standins/upstream/upstreamserver.h>
#include <standins/upstream/workroutes.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/ostream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <cstdint>
#include <memory>
#include <sstream>
#include <string>

namespace StandInUpstream {

namespace Http = boost::beast::http;

namespace Internal {

constexpr std::uint64_t largestBodyBytes = 64ULL * 1024ULL * 1024ULL;

void routeRequest(UpstreamServer& server, ConnectionId id)
{
    Session& session = server.sessions.at(id);
    const bool silent = session.silent || server.faults.silent;
    if (silent && !isFaultRequest(server, id)) {
        readRequest(server, id);
        return;
    }
    session.busy = true;
    if (routeControl(server, id))
        return;
    routeWork(server, id);
}

void answerSent(UpstreamServer& server, ConnectionId id, bool keepAlive)
{
    Session& session = server.sessions.at(id);
    session.busy = false;
    session.streamed.reset();
    if (!keepAlive) {
        endSession(server, id);
        return;
    }
    readRequest(server, id);
}

/// Sends the head and the first part of the body, then closes.
void sendCutAnswer(UpstreamServer& server, ConnectionId id)
{
    Session& session = server.sessions.at(id);
    std::ostringstream head;
    head << session.answer.base();
    const std::shared_ptr<std::string> bytes
        = std::make_shared<std::string>(head.str() + session.answer.body().substr(0, *session.cutAfter));
    boost::asio::async_write(session.socket, boost::asio::buffer(*bytes),
        [&server, id, bytes](const boost::system::error_code&, std::size_t) { endSession(server, id); });
}

} // namespace Internal

void readRequest(UpstreamServer& server, ConnectionId id)
{
    Session& session = server.sessions.at(id);
    session.parser.emplace();
    session.parser->body_limit(Internal::largestBodyBytes);
    Http::async_read(session.socket, session.buffer, *session.parser,
        [&server, id](const boost::system::error_code& error, std::size_t) {
            if (error)
                endSession(server, id);
            else
                Internal::routeRequest(server, id);
        });
}

void sendAnswer(UpstreamServer& server, ConnectionId id)
{
    Session& session = server.sessions.at(id);
    if (session.cutAfter) {
        Internal::sendCutAnswer(server, id);
        return;
    }
    Http::async_write(
        session.socket, session.answer, [&server, id](const boost::system::error_code& error, std::size_t) {
            const bool keepAlive = !error && server.sessions.at(id).answer.keep_alive();
            Internal::answerSent(server, id, keepAlive);
        });
}

void sendStreamed(UpstreamServer& server, ConnectionId id)
{
    Session& session = server.sessions.at(id);
    StreamedAnswer& streamed = *session.streamed;
    if (streamed.position == streamed.end && streamed.end < streamed.size) {
        endSession(server, id);
        return;
    }
    loadNextPiece(streamed);
    Http::async_write(session.socket, streamed.serializer,
        [&server, id](const boost::system::error_code& error, std::size_t) {
            if (error == Http::error::need_buffer) {
                sendStreamed(server, id);
                return;
            }
            const bool keepAlive = !error && server.sessions.at(id).streamed->message.keep_alive();
            Internal::answerSent(server, id, keepAlive);
        });
}

void endSession(UpstreamServer& server, ConnectionId id)
{
    boost::system::error_code ignored;
    server.sessions.at(id).socket.close(ignored);
    server.sessions.erase(id);
}

} // namespace StandInUpstream
