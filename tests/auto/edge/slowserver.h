#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace EdgeTest {

/// An HTTP server that gives every request the same response, after a delay.
struct SlowServer {
    SlowServer(boost::asio::io_context& context, std::string head, std::chrono::milliseconds delay);

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    /// Status and header fields of the response.
    std::string head;
    std::chrono::milliseconds delay;
    /// First lines of the requests.
    std::vector<std::string> requests;
};

/// The "IP:PORT" that \a server listens on.
std::string addressOf(const SlowServer& server);

} // namespace EdgeTest
