#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace ProcessTest {

/// A caller that sends bytes to a VM until it has sent a number of them or the connection ends.
struct EndlessCaller {
    explicit EndlessCaller(boost::asio::io_context& context)
        : socket(context)
    {
    }

    boost::asio::ip::tcp::socket socket;
    /// Sent again and again after the first bytes.
    std::string filler;
    std::array<char, 4096> received {};
    std::uint64_t sentBytes = 0;
    std::uint64_t maxBytes = 0;
    bool isDone = false;
};

/// Connects \a caller and sends \a head, then the filler.
void startSending(
    EndlessCaller& caller, const boost::asio::ip::tcp::endpoint& endpoint, const std::string& head);

} // namespace ProcessTest
