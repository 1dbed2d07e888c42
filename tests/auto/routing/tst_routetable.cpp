#include <routing/routetable.h>

#include <catch2/catch.hpp>

using namespace Routing;

namespace {

Route makeRoute(const char* host, const char* prefix)
{
    Route route;
    route.name = std::string(host) + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    route.destinations = { { { "service" }, 1 } };
    return route;
}

struct Row {
    const char* name;
    const char* host;
    const char* target;
    const char* expected;
};

} // namespace

TEST_CASE("The route of the host with the longest matching path prefix is found", "[routetable]")
{
    Configuration configuration;
    configuration.routes = { makeRoute("a.example", "/"), makeRoute("a.example", "/x/"),
        makeRoute("a.example", "/x/y/"), makeRoute("b.example", "/only/") };
    const RouteTable table = makeRouteTable(configuration);
    const Row row = GENERATE(values<Row>({
        { "root", "a.example", "/", "a.example/" },
        { "no longer prefix", "a.example", "/xy/1", "a.example/" },
        { "one step", "a.example", "/x/1", "a.example/x/" },
        { "two steps", "a.example", "/x/y/1/2", "a.example/x/y/" },
        { "prefix itself", "a.example", "/x/y/", "a.example/x/y/" },
        { "without its last slash", "a.example", "/x/y", "a.example/x/" },
        { "slash in the query", "a.example", "/x?q=/x/y/", "a.example/" },
        { "port and case of the host", "A.Example:80", "/x/1", "a.example/x/" },
        { "no route of the host", "b.example", "/other/", nullptr },
        { "unknown host", "c.example", "/", nullptr },
        { "no path", "a.example", "*", nullptr },
    }));
    INFO(row.name);
    const Route* route = findRoute(table, row.host, row.target);
    REQUIRE((route != nullptr) == (row.expected != nullptr));
    if (route)
        CHECK(route->name == row.expected);
}
