#include <routing/splitstate.h>

#include <catch2/catch.hpp>

#include <map>

using namespace Routing;

namespace {

struct Row {
    const char* name;
    std::vector<RouteDestination> parts;
    unsigned requests;
};

} // namespace

TEST_CASE("Parts of a route get their weight's share over any short run", "[splitstate]")
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
    route.destinations = row.parts;
    SplitState state;
    std::map<std::string, unsigned> counts;
    for (unsigned request = 0; request < row.requests; ++request)
        ++counts[chooseDestination(state, route).service.value];
    unsigned total = 0;
    for (const RouteDestination& part : row.parts)
        total += part.weight;
    for (const RouteDestination& part : row.parts) {
        const double due = static_cast<double>(row.requests) * part.weight / total;
        CHECK(std::abs(counts[part.service.value] - due) < 1);
    }
}

TEST_CASE("A route with other parts starts its shares anew", "[splitstate]")
{
    Route route;
    route.name = "route";
    route.destinations = { { { "a" }, 1 }, { { "b" }, 1 } };
    SplitState state;
    chooseDestination(state, route);
    route.destinations.push_back({ { "c" }, 98 });
    CHECK(chooseDestination(state, route).service.value == "c");
}
