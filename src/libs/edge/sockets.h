#pragma once

#include <routing/endpoint.h>

#include <boost/asio/ip/tcp.hpp>

/// Socket options and addresses that all connections of a VM share.
namespace Edge {

using Tcp = boost::asio::ip::tcp;

/// Makes a connection that has gone silent fail within about three seconds, and sends small writes at once.
void configureSocket(Tcp::socket& socket);

Tcp::endpoint toTcpEndpoint(const Routing::Endpoint& endpoint);

/// Whether the peer of an idle connection has closed it or sent something that was not asked for.
bool isReadableOrClosed(Tcp::socket& socket);

} // namespace Edge
