#include <balancing/chooseupstream.h>
#include <balancing/loadmodel.h>

#include <catch2/catch.hpp>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 1000s };

struct Row {
    const char* name;
    UpstreamLoad nearLoad;
    UpstreamLoad farLoad;
    Distance distance;
    double responseBytes;
    bool choosesNear;
};

UpstreamLoad busyLoad(unsigned requests)
{
    UpstreamLoad load;
    load.outstanding = requests;
    return load;
}

UpstreamLoad ejectedLoad()
{
    UpstreamLoad load;
    load.ejectedUntil = start + 1s;
    return load;
}

UpstreamLoad unresponsiveLoad(Utils::Duration time)
{
    UpstreamLoad load;
    load.outstanding = 1;
    load.awaitingResponseSince = start - time;
    return load;
}

UpstreamLoad slowLoad(double slowdownFactor)
{
    UpstreamLoad load;
    load.slowdownFactor = slowdownFactor;
    return load;
}

} // namespace

TEST_CASE("The nearest upstream is chosen until its waiting time exceeds the network cost of another",
    "[chooseupstream]")
{
    const Row row = GENERATE(values<Row>({
        { "equal, other zone", {}, {}, Distance::SameRegion, 1500, true },
        { "near is full, other zone is free", busyLoad(4), {}, Distance::SameRegion, 1500, false },
        { "near is full, other region is free", busyLoad(4), {}, Distance::OtherRegion, 1500, false },
        { "near has one waiting, large answer from the other region", busyLoad(3), {}, Distance::OtherRegion,
            90000, true },
        { "near is avoided", ejectedLoad(), busyLoad(6), Distance::SameRegion, 1500, false },
        { "both are avoided", ejectedLoad(), ejectedLoad(), Distance::SameRegion, 1500, true },
        { "near has been silent", unresponsiveLoad(2s), {}, Distance::SameRegion, 1500, false },
        { "near has been silent for as long as requests take", unresponsiveLoad(300ms), {},
            Distance::OtherRegion, 1500, true },
        { "near is slow", slowLoad(5), {}, Distance::SameRegion, 1500, false },
    }));
    INFO(row.name);
    ServiceStats stats;
    stats.serviceTime = 160ms;
    const std::vector<Candidate> candidates { { { "near" }, &row.nearLoad, 2, Distance::SameZone, 1 },
        { { "far" }, &row.farLoad, 2, row.distance, 1 } };
    const std::optional<Placement> placement
        = chooseUpstream(candidates, { &stats, 160ms, row.responseBytes, 1 }, start);
    REQUIRE(placement);
    CHECK((placement->index == 0) == row.choosesNear);
}

TEST_CASE("No upstream is chosen if there are no candidates", "[chooseupstream]")
{
    ServiceStats stats;
    CHECK_FALSE(chooseUpstream({}, { &stats, 160ms, 0, 1 }, start));
}

TEST_CASE("Equal upstreams share the requests", "[chooseupstream]")
{
    ServiceStats stats;
    const UpstreamLoad load;
    std::vector<Candidate> candidates;
    for (const char* name : { "a", "b", "c", "d" })
        candidates.push_back({ { name }, &load, 2, Distance::SameZone, 1 });
    std::vector<unsigned> chosen(candidates.size(), 0);
    for (std::uint64_t seed = 1; seed <= 400; ++seed)
        ++chosen[chooseUpstream(candidates, { &stats, 160ms, 0, seed }, start)->index];
    for (const unsigned count : chosen)
        CHECK(count > 60);
}
