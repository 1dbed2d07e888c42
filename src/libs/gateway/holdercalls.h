#pragma once

#include <gateway/controlstate.h>
#include <ownership/sendfence.h>
#include <ownership/sendgrant.h>

#include <boost/asio/awaitable.hpp>

/// Control exchanges with upstreams.
namespace Gateway {

/// Sends a grant or a fence and hands its answer to the granter of \a pool.
boost::asio::awaitable<void> callHolder(ControlState& state, Utils::PoolId pool, Ownership::SendGrant call);
boost::asio::awaitable<void> callHolder(ControlState& state, Utils::PoolId pool, Ownership::SendFence call);

/// Asks an upstream for its state, to learn which start is there.
boost::asio::awaitable<void> pollUpstream(ControlState& state, Utils::UpstreamId upstream);

} // namespace Gateway
