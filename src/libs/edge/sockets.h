#pragma once

#include <routing/endpoint.h>

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

/// Socket options and address conversion used for all connections of a VM.
namespace Edge {

using Tcp = boost::asio::ip::tcp;

/// Limit of a connection's buffer for bytes that the HTTP parser has not consumed; larger than any head.
inline constexpr std::size_t maxUnparsedBytes = std::size_t(128) << 10;

/// Requests up to this size fit into any usual receive window, so that a peer that lives acknowledges them
/// whether it reads them or not.
inline constexpr std::size_t maxWindowedRequestBytes = std::size_t(16) << 10;

/// Sets the options that make an idle connection to a peer that is gone fail within about three seconds and
/// send small writes without delay.
void configureSocket(Tcp::socket& socket);

/// Sets whether the connection fails if sent data remains unacknowledged for some seconds. A peer that lives
/// but does not read, so that its receive window stays closed for as long, can't be told from one that is
/// gone: the time must be limited only where the peer reads continuously or all that is sent fits into its
/// window.
void setAcknowledgementLimit(Tcp::socket& socket, bool isLimited);

/// Makes every close of \a socket, also by the end of the process, reset the connection and discard data that
/// has not been sent.
void discardUnsentDataOnClose(Tcp::socket& socket);

Tcp::endpoint toTcpEndpoint(const Routing::Endpoint& endpoint);

/// Whether the peer of an idle connection has closed it or sent unexpected data.
bool isReadableOrClosed(Tcp::socket& socket);

} // namespace Edge
