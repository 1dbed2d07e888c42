#pragma once

#include <gateway/upstreamconnection.h>
#include <settings/endpoint.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

/// Opening and reusing connections to upstreams.
namespace Gateway {

/// Connections to one upstream that wait for their next use, the one used last at the end.
using IdleConnections = std::vector<std::unique_ptr<UpstreamConnection>>;

/// A new connection to \a place; null when it can't be opened within connectTimeout.
boost::asio::awaitable<std::unique_ptr<UpstreamConnection>> openUpstream(
    boost::asio::io_context& context, const Settings::Endpoint& place);

/// The connection used last, if that was within \a limit; null, and all others dropped, if not: a connection
/// that has been idle for long may have gone silent.
std::unique_ptr<UpstreamConnection> takeIdle(IdleConnections& idle, Utils::Duration limit);

} // namespace Gateway
