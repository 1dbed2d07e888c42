#pragma once

#include <edge/ownanswer.h>
#include <edge/sockets.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace Edge {

/// Answers GET requests that need no body: readiness and metrics.
struct SmallServer {
    explicit SmallServer(boost::asio::io_context& context)
        : acceptor(context)
    {
    }

    Tcp::acceptor acceptor;
    std::function<HttpResponse(std::string_view target)> answer;
};

/// Listens on \a endpoint. Throws boost::system::system_error if that is not possible.
void startServing(SmallServer& server, const Tcp::endpoint& endpoint);

} // namespace Edge
