#include <standins/upstream/listener.h>

#include <standins/upstream/upstreamserver.h>

#include <standins/journal/endpoint.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace StandInUpstream {

namespace Internal {

constexpr std::chrono::milliseconds stopPoll { 5 };
/// Requests that cross the stop on an open connection are still refused within this time.
constexpr std::chrono::milliseconds stopGrace { 300 };

void acceptNext(UpstreamServer& server)
{
    server.acceptor.async_accept(
        [&server](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted)
                return;
            if (!error) {
                boost::system::error_code ignored;
                socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
                server.lastConnection = ConnectionId { server.lastConnection.value + 1 };
                server.sessions.try_emplace(server.lastConnection, std::move(socket));
                readRequest(server, server.lastConnection);
            }
            acceptNext(server);
        });
}

bool isAnswering(const UpstreamServer& server)
{
    return std::any_of(server.sessions.begin(), server.sessions.end(),
        [](const std::pair<const ConnectionId, Session>& entry) { return entry.second.busy; });
}

void stopWhenAnswered(UpstreamServer& server, std::chrono::steady_clock::time_point graceEnd)
{
    if (std::chrono::steady_clock::now() >= graceEnd && !isAnswering(server)) {
        record(server, newRow(server, Journal::UpstreamEvent::Stopped));
        server.context.stop();
        return;
    }
    server.stopTimer.expires_after(stopPoll);
    server.stopTimer.async_wait(
        [&server, graceEnd](const boost::system::error_code&) { stopWhenAnswered(server, graceEnd); });
}

} // namespace Internal

boost::system::error_code startListening(UpstreamServer& server)
{
    boost::system::error_code error;
    const boost::asio::ip::tcp::endpoint endpoint = Journal::endpointFrom(server.options.listen, error);
    if (!error)
        server.acceptor.open(endpoint.protocol(), error);
    if (!error)
        server.acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        server.acceptor.bind(endpoint, error);
    if (!error)
        server.acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return error;
    record(server, newRow(server, Journal::UpstreamEvent::Started));
    noteHealth(server);
    Internal::acceptNext(server);
    return error;
}

std::uint16_t listeningPort(const UpstreamServer& server) { return server.acceptor.local_endpoint().port(); }

void startStopping(UpstreamServer& server)
{
    server.stopping = true;
    noteHealth(server);
    boost::system::error_code ignored;
    server.acceptor.close(ignored);
    Internal::stopWhenAnswered(server, std::chrono::steady_clock::now() + Internal::stopGrace);
}

} // namespace StandInUpstream
