#pragma once

#include <gateway/callerconnection.h>
#include <gateway/callerrequest.h>
#include <gateway/networkstate.h>

#include <boost/asio/awaitable.hpp>

namespace Gateway {

/// Has \a request run by its dispatcher, trying again where that is right, and writes the one final answer.
/// \param request lives until the call ends.
/// \returns false when the caller's connection can't be used any more.
boost::asio::awaitable<bool> relayRequest(
    NetworkState& state, CallerConnection& caller, const CallerRequest& request);

} // namespace Gateway
