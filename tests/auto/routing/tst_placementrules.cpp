#include <routing/placementrules.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using Routing::PlacementVerdict;

namespace {

using Regions = std::vector<Utils::RegionId>;

const Utils::RegionId north { "north" };
const Utils::RegionId south { "south" };
const Utils::RegionId unknownRegion { "west" };

const std::map<Utils::ZoneId, Utils::RegionId> regionByZone {
    { { "n1" }, north },
    { { "n2" }, north },
    { { "s1" }, south },
};

Routing::Route makeRoute(Regions homes, const std::vector<Routing::RouteDestination>& destinations)
{
    Routing::Route route;
    route.homeRegions = std::move(homes);
    route.destinations = destinations;
    return route;
}

} // namespace

TEST_CASE("Requests go to upstreams in a home region that is not evacuated", "[placementrules]")
{
    struct Row {
        const char* name;
        Regions homes;
        const char* zone;
        PlacementVerdict verdict;
    };
    const Row row = GENERATE(values<Row>({
        { "no homes", {}, "s1", PlacementVerdict::Allowed },
        { "no homes, unknown zone", {}, "x1", PlacementVerdict::Allowed },
        { "no homes, evacuated", {}, "n2", PlacementVerdict::Evacuated },
        { "home", { north }, "n1", PlacementVerdict::Allowed },
        { "other region", { north }, "s1", PlacementVerdict::OutsideHomes },
        { "one of two homes", { north, south }, "s1", PlacementVerdict::Allowed },
        { "unknown zone", { north, south }, "x1", PlacementVerdict::OutsideHomes },
        { "unknown home", { unknownRegion }, "n1", PlacementVerdict::OutsideHomes },
        { "home, evacuated", { north }, "n2", PlacementVerdict::Evacuated },
        { "other region, evacuated", { south }, "n2", PlacementVerdict::OutsideHomes },
    }));
    INFO(row.name);
    Routing::Evacuations evacuations;
    Routing::startEvacuation(evacuations, { "n2" }, 1, Utils::Instant(10s));
    CHECK(Routing::checkPlacement({ regionByZone, evacuations }, row.homes, { row.zone }) == row.verdict);
}

TEST_CASE("The holder of a key serves for some time after the evacuation of its zone", "[placementrules]")
{
    struct Row {
        const char* name;
        Utils::Instant confirmedAt;
        PlacementVerdict verdict;
    };
    const Utils::Instant now { 100s };
    const Row row = GENERATE_COPY(values<Row>({
        { "just known", now, PlacementVerdict::Allowed },
        { "shortly before the end", now - 3999ms, PlacementVerdict::Allowed },
        { "at the end", now - 4000ms, PlacementVerdict::Evacuated },
        { "known when the VM started", Utils::Instant {}, PlacementVerdict::Evacuated },
    }));
    INFO(row.name);
    Routing::Evacuations evacuations;
    Routing::startEvacuation(evacuations, { "n1" }, 1, row.confirmedAt);
    const Routing::PlacementRules rules { regionByZone, evacuations };
    CHECK(Routing::checkHolderPlacement(rules, {}, { "n1" }, 4s, now) == row.verdict);
    CHECK(
        Routing::checkHolderPlacement(rules, { south }, { "n1" }, 4s, now) == PlacementVerdict::OutsideHomes);
}

TEST_CASE("Keys are placed in the homes of all routes if each has some", "[placementrules]")
{
    struct Row {
        const char* name;
        std::vector<Routing::Route> routes;
        Regions homes;
    };
    const Row row = GENERATE(values<Row>({
        { "no route", {}, {} },
        { "one without homes", { makeRoute({}, { { { "a" }, 1 } }) }, {} },
        { "one with homes", { makeRoute({ north }, { { { "a" }, 1 } }) }, { north } },
        { "both have homes",
            { makeRoute({ south }, { { { "a" }, 1 } }), makeRoute({ north }, { { { "a" }, 1 } }) },
            { north, south } },
        { "one of two has homes",
            { makeRoute({ south }, { { { "a" }, 1 } }), makeRoute({}, { { { "a" }, 1 } }) }, {} },
        { "the other sends nothing",
            { makeRoute({ south }, { { { "a" }, 1 } }), makeRoute({}, { { { "a" }, 0 }, { { "b" }, 1 } }) },
            { south } },
    }));
    INFO(row.name);
    Routing::Configuration configuration;
    configuration.routes = row.routes;
    const std::map<Utils::ServiceId, Regions> homes = Routing::findServiceHomes(configuration);
    const auto found = homes.find({ "a" });
    CHECK((found == homes.end() ? Regions() : found->second) == row.homes);
}

TEST_CASE("Home regions without a zone are named", "[placementrules]")
{
    Routing::Configuration configuration;
    configuration.routes = { makeRoute({ north, unknownRegion }, {}), makeRoute({ south }, {}) };
    CHECK(Routing::findUnknownHomes(configuration, regionByZone) == std::set { unknownRegion });
}

TEST_CASE("An older record changes no evacuation", "[placementrules]")
{
    Routing::Evacuations evacuations;
    const Utils::ZoneId zone { "n1" };
    CHECK(Routing::startEvacuation(evacuations, zone, 5, Utils::Instant(1s)));
    CHECK_FALSE(Routing::startEvacuation(evacuations, zone, 6, Utils::Instant(2s)));
    CHECK(Routing::findEvacuation(evacuations, zone)->since == Utils::Instant(1s));
    CHECK_FALSE(Routing::endEvacuation(evacuations, zone, 4, Utils::Instant(3s)));
    CHECK(Routing::findEvacuation(evacuations, zone));
    CHECK(Routing::findEndedEvacuations(evacuations, {}, 5).empty());
    CHECK(Routing::findEndedEvacuations(evacuations, {}, 6) == std::vector { zone });
    CHECK(Routing::findEndedEvacuations(evacuations, { zone }, 6).empty());
    CHECK(Routing::endEvacuation(evacuations, zone, 7, Utils::Instant(4s)));
    CHECK(evacuations.byZone.at(zone).endedAt == Utils::Instant(4s));
    CHECK_FALSE(Routing::startEvacuation(evacuations, zone, 6, Utils::Instant(5s)));
    CHECK_FALSE(Routing::findEvacuation(evacuations, zone));
    CHECK(Routing::startEvacuation(evacuations, zone, 8, Utils::Instant(5s)));
}
