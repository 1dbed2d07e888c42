#pragma once

#include <edge/localresponse.h>
#include <edge/sockets.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace Edge {

/// Answers GET requests that need no body: readiness and metrics.
struct StatusServer {
    explicit StatusServer(boost::asio::io_context& context)
        : acceptor(context)
    {
    }

    Tcp::acceptor acceptor;
    std::function<HttpResponse(std::string_view target)> handler;
};

/// Listens on \a endpoint. Throws boost::system::system_error if that is not possible.
void startServing(StatusServer& server, const Tcp::endpoint& endpoint);

} // namespace Edge
