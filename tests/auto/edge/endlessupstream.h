#pragma once

#include "testenvironment.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace EdgeTest {

/// A server that answers any request with \c head and then sends \c filler until the connection is closed.
struct EndlessUpstream {
    EndlessUpstream(boost::asio::io_context& context, std::string head, std::string filler);

    struct Connection {
        explicit Connection(boost::asio::io_context& context)
            : socket(context)
        {
        }

        boost::asio::ip::tcp::socket socket;
        std::string received;
    };

    boost::asio::io_context& context;
    std::string head;
    std::string filler;
    boost::asio::ip::tcp::acceptor acceptor;
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections;
    std::uint64_t lastConnection = 0;
    std::uint64_t bytesSent = 0;
};

/// Listens and publishes an entry as upstream \a id of \a service.
void startEndlessUpstream(TestEnvironment& environment, EndlessUpstream& upstream, const std::string& id,
    const std::string& service);

} // namespace EdgeTest
