#include <routing/splitstate.h>

#include <algorithm>
#include <cstddef>

namespace Routing {

const RouteDestination& chooseDestination(SplitState& state, const Route& route)
{
    if (route.destinations.size() == 1)
        return route.destinations.front();
    std::vector<std::int64_t>& credits = state.credits[route.name];
    if (credits.size() != route.destinations.size())
        credits.assign(route.destinations.size(), 0);
    std::int64_t total = 0;
    for (std::size_t index = 0; index < credits.size(); ++index) {
        const std::int64_t weight = route.destinations[index].weight;
        credits[index]
            = weight == 0 ? INT64_MIN / 2 : std::max<std::int64_t>(credits[index], INT64_MIN / 4) + weight;
        total += weight;
    }
    const std::size_t chosen
        = static_cast<std::size_t>(std::max_element(credits.begin(), credits.end()) - credits.begin());
    credits[chosen] -= total;
    return route.destinations[chosen];
}

} // namespace Routing
