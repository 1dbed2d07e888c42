#include <gateway/routing.h>

#include <declarations/keylookup.h>
#include <gateway/requestfault.h>

namespace Gateway {

boost::leaf::result<Route> findRoute(
    const RoutingTable& table, const Utils::ServiceId& service, std::string_view key)
{
    if (table.configuration == nullptr)
        return boost::leaf::new_error(RequestFault { Requests::Reason::NoConfiguration, "configuration" });
    const Declarations::KeyRange* range = Declarations::findKeyRange(*table.configuration, service, key);
    if (range == nullptr)
        return boost::leaf::new_error(RequestFault { Requests::Reason::UnknownService, "service" });
    const auto pool = table.pools.find(range->pool);
    if (pool == table.pools.end() || pool->second.dispatcher.value.empty())
        return boost::leaf::new_error(RequestFault { Requests::Reason::NoOwner, "pool" });
    return Route { range->pool, Declarations::shardOf(*range, key), pool->second };
}

const Utils::VmId& dispatcherFor(const PoolRoute& route, unsigned attempt)
{
    const bool useSuccessor = attempt % 2 == 1 && !route.successor.value.empty();
    return useSuccessor ? route.successor : route.dispatcher;
}

} // namespace Gateway
