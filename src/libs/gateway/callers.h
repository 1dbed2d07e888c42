#pragma once

#include <gateway/networkstate.h>

#include <boost/asio/awaitable.hpp>

namespace Gateway {

/// Accepts callers on the caller port until the instance drains.
boost::asio::awaitable<void> acceptCallers(NetworkState& state);

} // namespace Gateway
