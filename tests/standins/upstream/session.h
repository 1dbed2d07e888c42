#pragma once

#include <standins/upstream/connectionid.h>
#include <standins/upstream/streamedanswer.h>
#include <standins/upstream/workrequest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <optional>

namespace StandInUpstream {

struct UpstreamServer;

/// One accepted connection. It has one operation under way at a time: a read, a wait or a write.
struct Session {
    explicit Session(boost::asio::ip::tcp::socket connected)
        : socket(std::move(connected))
        , timer(socket.get_executor())
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
    boost::beast::http::response<boost::beast::http::string_body> answer;
    std::optional<StreamedAnswer> streamed;
    /// The work that runs, if any.
    std::optional<WorkRequest> work;
    /// Whether its running work was cancelled.
    bool cancelled = false;
    /// Whether a request was read and is not yet answered.
    bool busy = false;
    /// Reads and never answers.
    bool silent = false;
    /// Bytes of a small answer after which the connection is closed; nothing sends it whole.
    std::optional<std::size_t> cutAfter;
};

/// Waits for the next request of a connection.
void readRequest(UpstreamServer& server, ConnectionId id);

/// Sends the session's small answer, then waits for the next request.
void sendAnswer(UpstreamServer& server, ConnectionId id);

/// Sends the session's streamed answer a piece at a time, then waits for the next request.
void sendStreamed(UpstreamServer& server, ConnectionId id);

/// Closes and forgets a connection that has no operation under way.
void endSession(UpstreamServer& server, ConnectionId id);

} // namespace StandInUpstream
