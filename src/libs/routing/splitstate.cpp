#include <routing/splitstate.h>

#include <algorithm>
#include <cstdint>
#include <cstddef>

namespace Routing {

namespace Internal {

/// Enough different phases for the shares of all VMs together to be exact within a percent.
constexpr std::uint64_t maxPhases = 1000;

/// Credit of a part with a weight of zero, which is never chosen.
constexpr std::int64_t noCredit = INT64_MIN / 2;

std::size_t advance(std::vector<std::int64_t>& credits, const Route& route)
{
    std::int64_t total = 0;
    for (std::size_t index = 0; index < credits.size(); ++index) {
        const std::int64_t weight = route.destinations[index].weight;
        // A part that takes requests again starts without a debt.
        const std::int64_t former = credits[index] == noCredit ? 0 : credits[index];
        credits[index] = weight == 0 ? noCredit : former + weight;
        total += weight;
    }
    const std::size_t chosen
        = static_cast<std::size_t>(std::max_element(credits.begin(), credits.end()) - credits.begin());
    credits[chosen] -= total;
    return chosen;
}

} // namespace Internal

const RouteDestination& chooseDestination(SplitState& state, const Route& route)
{
    if (route.destinations.size() == 1)
        return route.destinations.front();
    std::vector<std::int64_t>& credits = state.credits[route.name];
    if (credits.size() != route.destinations.size()) {
        credits.assign(route.destinations.size(), 0);
        for (std::uint64_t step = 0; step < state.phase % Internal::maxPhases; ++step)
            Internal::advance(credits, route);
    }
    return route.destinations[Internal::advance(credits, route)];
}

} // namespace Routing
