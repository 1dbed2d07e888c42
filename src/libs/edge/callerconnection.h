#pragma once

#include <edge/callerreadstate.h>
#include <edge/callerrequest.h>
#include <edge/guardedtimer.h>
#include <edge/sockets.h>
#include <routing/callerlimits.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace Edge {

/// An open connection from a caller. Requests that the caller sends ahead run side by side; their responses
/// are written in the order of the requests.
struct CallerConnection {
    CallerConnection(std::uint64_t id, Tcp::socket socket)
        : id(id)
        , readTimer(socket.get_executor())
        , writeTimer(socket.get_executor())
        , probeTimer(socket.get_executor())
        , socket(std::move(socket))
    {
    }

    std::uint64_t id;
    GuardedTimer readTimer;
    GuardedTimer writeTimer;
    GuardedTimer probeTimer;
    Tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
    /// The header of the chunked request being read.
    std::optional<boost::beast::http::request<boost::beast::http::string_body>::header_type> header;
    /// Memory that is reserved for the body being read, or that it waits for.
    std::uint64_t reservedBodyBytes = 0;
    std::uint64_t waitingBodyBytes = 0;
    /// Limits of the request being read.
    Routing::CallerLimits limits;
    CallerReadState readState = CallerReadState::Paused;
    /// Whether a read is in progress, which may go on after no more requests are taken.
    bool isReadPending = false;
    /// When the connection began to wait for a request.
    Utils::Instant idleSince {};
    /// Whether the caller sends the body being read only after an interim response.
    bool awaitsContinue = false;
    /// Requests without a completely written response, in the order of their arrival.
    std::deque<CallerRequest> requests;
    bool isWriting = false;
    /// When the write in progress began.
    Utils::Instant writingSince {};
    /// Whether a wait for the caller's end of the connection is pending.
    bool isWatching = false;
    /// The caller has closed its sending side, and perhaps both.
    bool hasCallerClosed = false;
    /// The last response has been written; what still arrives is discarded.
    bool isLingering = false;
    /// Whether the read in progress was cancelled to close the connection if nothing has arrived.
    bool isClosingIfIdle = false;
    /// Another VM that forwards requests.
    bool isPeer = false;
};

} // namespace Edge
