#pragma once

#include <soak/linkstate.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

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
        /// One side ended while the link hung, which the other side must not notice before it heals.
        bool lost = false;
    };

    TcpProxy(boost::asio::io_context& context, Tcp::endpoint own, Tcp::endpoint target)
        : context(context)
        , acceptor(context)
        , endpoint(std::move(own))
        , target(std::move(target))
    {
    }

    boost::asio::io_context& context;
    Tcp::acceptor acceptor;
    /// Where the proxy listens.
    Tcp::endpoint endpoint;
    Tcp::endpoint target;
    LinkState state = LinkState::Open;
    /// The proxy has been started and not stopped.
    bool serving = false;
    /// Connections that nobody accepts, which keep the acceptor's queue full while the link hangs.
    std::vector<Tcp::socket> queueFillers;
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections;
    std::uint64_t lastConnection = 0;
    /// Bytes from the client (0) or from the server (1) are held back until the fault ends.
    std::array<bool, 2> silent {};
    std::chrono::milliseconds delay {};
};

/// Listens and forwards connections, once the link is open. Throws boost::system::system_error.
void startProxy(TcpProxy& proxy);

/// Stops listening and resets all connections; of a link that hangs only once it heals.
void stopProxy(TcpProxy& proxy);

/// Harms an open link as \a state says, whether the proxy is started or not. Throws
/// boost::system::system_error.
void cutLink(TcpProxy& proxy, LinkState state);

/// Ends cutLink(). Throws boost::system::system_error.
void healLink(TcpProxy& proxy);

void resetConnections(TcpProxy& proxy);

/// Forwards what was held back while a direction was silent.
void releaseHeldBytes(TcpProxy& proxy);

} // namespace Soak
