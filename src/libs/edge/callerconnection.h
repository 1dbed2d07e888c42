#pragma once

#include <edge/guardedtimer.h>
#include <edge/localresponse.h>
#include <edge/sockets.h>
#include <utils/time.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>

namespace Edge {

/// An open connection from a caller.
struct CallerConnection {
    CallerConnection(std::uint64_t id, Tcp::socket socket)
        : id(id)
        , timer(socket.get_executor())
        , socket(std::move(socket))
    {
    }

    std::uint64_t id;
    GuardedTimer timer;
    Tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
    /// The response that is being written.
    std::optional<HttpResponse> response;
    /// Memory of the body of that response.
    std::size_t responseBytes = 0;
    /// The exchange of the request in flight; 0 if there is none.
    std::uint64_t exchangeId = 0;
    /// Whether a request header has been read and its body has not been read completely.
    bool isReadingBody = false;
    bool keepAlive = true;
    /// Another VM that forwards requests.
    bool isPeer = false;
};

} // namespace Edge
