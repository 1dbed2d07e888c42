#pragma once

#include <routing/endpoint.h>

#include <boost/asio/ip/tcp.hpp>

/// Socket options and address conversion used for all connections of a VM.
namespace Edge {

using Tcp = boost::asio::ip::tcp;

/// Limit of a connection's buffer for bytes that the HTTP parser has not consumed; larger than any head.
inline constexpr std::size_t maxUnparsedBytes = std::size_t(128) << 10;

/// Sets the options that make a half-open connection fail within about three seconds and send small writes
/// without delay.
void configureSocket(Tcp::socket& socket);

/// Makes every close of \a socket, also by the end of the process, reset the connection and discard data that
/// has not been sent.
void discardUnsentDataOnClose(Tcp::socket& socket);

Tcp::endpoint toTcpEndpoint(const Routing::Endpoint& endpoint);

/// Whether the peer of an idle connection has closed it or sent unexpected data.
bool isReadableOrClosed(Tcp::socket& socket);

} // namespace Edge
