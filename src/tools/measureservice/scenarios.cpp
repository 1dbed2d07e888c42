#include "simulation.h"

namespace Measure {

namespace {

using namespace std::chrono_literals;

constexpr double flood = 10;

Scenario withLoads(const char* name, double urgentLoad, double bulkLoad)
{
    const RankLoad urgent { { "urgent" }, 4ms, urgentLoad, 200, true };
    const RankLoad normal { { "normal" }, 8ms, 0.2, 100, false };
    const RankLoad bulk { { "bulk" }, 20ms, bulkLoad, 50, true };
    return Scenario { name, { urgent, normal, bulk }, UpstreamFault::None };
}

Scenario withFault(const char* name, UpstreamFault fault)
{
    Scenario scenario = withLoads(name, 0.3, 0.2);
    scenario.fault = fault;
    return scenario;
}

} // namespace

std::vector<Scenario> scenarios()
{
    return {
        withLoads("normal", 0.3, 0.2),
        withLoads("flood_least_urgent", 0.3, flood),
        withLoads("flood_most_urgent", flood, 0.2),
        withFault("slow_upstream", UpstreamFault::Slow),
        withFault("shedding_upstream", UpstreamFault::Shedding),
        withFault("cold_upstream", UpstreamFault::Cold),
    };
}

} // namespace Measure
