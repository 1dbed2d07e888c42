#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <string>

namespace EdgeTest {

/// An upstream that grants all keys. It rejects the first request twice, the second time while the next
/// request may have arrived on the connection, and runs the following ones.
struct RepeatingUpstream {
    explicit RepeatingUpstream(boost::asio::io_context& context);

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    unsigned grants = 0;
    unsigned requests = 0;
    /// Requests that were run.
    unsigned ran = 0;
};

/// The "IP:PORT" that \a upstream listens on.
std::string addressOf(const RepeatingUpstream& upstream);

} // namespace EdgeTest
