#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>

/// Forwards TCP connections on loopback and harms them.
namespace Soak {

using Tcp = boost::asio::ip::tcp;

struct TcpProxy {
    struct Connection {
        explicit Connection(boost::asio::io_context& context)
            : sockets { Tcp::socket(context), Tcp::socket(context) }
        {
        }

        static constexpr std::size_t bufferBytes = 16384;
        /// To the client and to the server.
        std::array<Tcp::socket, 2> sockets;
        /// Bytes read from the socket of the same index.
        std::array<std::array<char, bufferBytes>, 2> buffers {};
        std::array<std::size_t, 2> held {};
    };

    TcpProxy(boost::asio::io_context& context, Tcp::endpoint target)
        : context(context)
        , acceptor(context)
        , target(std::move(target))
    {
    }

    boost::asio::io_context& context;
    Tcp::acceptor acceptor;
    Tcp::endpoint target;
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections;
    std::uint64_t lastConnection = 0;
    /// Bytes from the client (0) or from the server (1) are held back until the fault ends.
    std::array<bool, 2> silent {};
    std::chrono::milliseconds delay {};
};

/// Listens on \a endpoint and forwards connections. Throws boost::system::system_error.
void startProxy(TcpProxy& proxy, const Tcp::endpoint& endpoint);

/// Stops listening and resets all connections.
void stopProxy(TcpProxy& proxy);

void resetConnections(TcpProxy& proxy);

/// Forwards what was held back while a direction was silent.
void releaseHeldBytes(TcpProxy& proxy);

} // namespace Soak
