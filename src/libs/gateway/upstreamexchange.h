#pragma once

#include <gateway/networkstate.h>
#include <gateway/runwork.h>

#include <boost/asio/awaitable.hpp>

/// HTTP exchanges with upstreams.
namespace Gateway {

/// Sends the work to its upstream, passes the answer on, and reports the result to the dispatch duty.
boost::asio::awaitable<void> runExchange(NetworkState& state, std::shared_ptr<HeldWork> work, RunWork run);

/// Asks the upstream to stop a work; best effort.
boost::asio::awaitable<void> cancelAtUpstream(
    NetworkState& state, Requests::WorkId work, Utils::UpstreamId upstream);

} // namespace Gateway
