#pragma once

#include <edge/localresponse.h>
#include <edge/sockets.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace Edge {

/// A minimal HTTP server for requests without a body: readiness checks and metrics.
struct StatusServer {
    explicit StatusServer(boost::asio::io_context& context)
        : acceptor(context)
    {
    }

    Tcp::acceptor acceptor;
    std::function<HttpResponse(std::string_view target)> handler;
};

/// Listens on \a endpoint. Throws boost::system::system_error on failure.
void startServing(StatusServer& server, const Tcp::endpoint& endpoint);

} // namespace Edge
