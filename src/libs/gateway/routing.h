#pragma once

#include <gateway/route.h>
#include <gateway/routingtable.h>

#include <boost/leaf.hpp>

#include <string_view>

namespace Gateway {

/// The route of \a key. Errors: RequestFault with NoConfiguration, UnknownService, or NoOwner when the pool
/// has no assignment yet.
boost::leaf::result<Route> findRoute(
    const RoutingTable& table, const Utils::ServiceId& service, std::string_view key);

/// The VM to try at \a attempt, from 0: the dispatcher, then its successor, in turn.
const Utils::VmId& dispatcherFor(const PoolRoute& route, unsigned attempt);

} // namespace Gateway
