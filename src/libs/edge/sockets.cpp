#include <edge/sockets.h>

#include <boost/asio/ip/address.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Edge {

namespace Internal {

/// Seconds without traffic before a connection is probed, and between probes; two lost probes end it. A third
/// of the time for which the users' pages call a VM out of touch after its connections were reset.
constexpr int probeSeconds = 1;
constexpr int lostProbes = 2;
/// Milliseconds for which sent bytes may go unacknowledged.
constexpr int unacknowledgedMs = 2500;

void setOption(Tcp::socket& socket, int level, int name, int value)
{
    // A socket that was closed meanwhile fails here and at its next use, where it is noticed.
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

} // namespace Internal

void configureSocket(Tcp::socket& socket)
{
    Internal::setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    Internal::setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    Internal::setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, Internal::probeSeconds);
    Internal::setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, Internal::probeSeconds);
    Internal::setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, Internal::lostProbes);
    Internal::setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, Internal::unacknowledgedMs);
}

Tcp::endpoint toTcpEndpoint(const Routing::Endpoint& endpoint)
{
    return { boost::asio::ip::make_address(endpoint.address), endpoint.port };
}

bool isReadableOrClosed(Tcp::socket& socket)
{
    char byte = 0;
    const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace Edge
