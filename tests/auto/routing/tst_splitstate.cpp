#include <routing/splitstate.h>

#include <catch2/catch.hpp>

#include <map>

using namespace Routing;

namespace {

struct Row {
    const char* name;
    std::vector<RouteDestination> destinations;
    unsigned requests;
};

} // namespace

TEST_CASE("Destinations get requests in proportion to their weights over any short run", "[splitstate]")
{
    const Row row = GENERATE(values<Row>({
        { "one part", { { { "a" }, 3 } }, 7 },
        { "even", { { { "a" }, 1 }, { { "b" }, 1 } }, 10 },
        { "nine to one", { { { "a" }, 90 }, { { "b" }, 10 } }, 20 },
        { "three", { { { "a" }, 5 }, { { "b" }, 3 }, { { "c" }, 2 } }, 50 },
        { "one without weight", { { { "a" }, 0 }, { { "b" }, 4 } }, 12 },
    }));
    INFO(row.name);
    Route route;
    route.name = "route";
    route.destinations = row.destinations;
    SplitState state;
    std::map<std::string, unsigned> counts;
    for (unsigned request = 0; request < row.requests; ++request)
        ++counts[chooseDestination(state, route).service.value];
    unsigned total = 0;
    for (const RouteDestination& destination : row.destinations)
        total += destination.weight;
    for (const RouteDestination& destination : row.destinations) {
        const double expected = static_cast<double>(row.requests) * destination.weight / total;
        CHECK(std::abs(counts[destination.service.value] - expected) < 1);
    }
}

TEST_CASE("A change of the destinations of a route resets its traffic split", "[splitstate]")
{
    Route route;
    route.name = "route";
    route.destinations = { { { "a" }, 1 }, { { "b" }, 1 } };
    SplitState state;
    chooseDestination(state, route);
    route.destinations.push_back({ { "c" }, 98 });
    CHECK(chooseDestination(state, route).service.value == "c");
}
