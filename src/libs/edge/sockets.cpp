#include <edge/sockets.h>

#include <boost/asio/ip/address.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Edge {

namespace Internal {

/// Seconds of idle time before the first TCP keep-alive probe, and between probes; two lost probes close the
/// connection. This is a third of the time for which the platform considers a VM unreachable after its
/// connections were reset.
constexpr int keepAliveIntervalSeconds = 1;
constexpr int maxLostKeepAliveProbes = 2;
/// Milliseconds for which sent data may stay unacknowledged.
constexpr int maxUnacknowledgedMs = 2500;

void setOption(Tcp::socket& socket, int level, int name, int value)
{
    // Errors are ignored: a socket that has been closed also fails at its next use, where the error is
    // handled.
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

} // namespace Internal

void configureSocket(Tcp::socket& socket)
{
    Internal::setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    Internal::setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    Internal::setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, Internal::keepAliveIntervalSeconds);
    Internal::setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, Internal::keepAliveIntervalSeconds);
    Internal::setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, Internal::maxLostKeepAliveProbes);
}

void setAcknowledgementLimit(Tcp::socket& socket, bool isLimited)
{
    constexpr int unlimited = 0;
    Internal::setOption(
        socket, IPPROTO_TCP, TCP_USER_TIMEOUT, isLimited ? Internal::maxUnacknowledgedMs : unlimited);
}

void discardUnsentDataOnClose(Tcp::socket& socket)
{
    // The socket's own option is withdrawn by its destructor.
    const linger option { 1, 0 };
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
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
