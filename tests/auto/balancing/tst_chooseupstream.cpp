#include <balancing/chooseupstream.h>
#include <balancing/loadmodel.h>

#include <catch2/catch.hpp>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 1000s };

struct Row {
    const char* name;
    UpstreamLoad near;
    UpstreamLoad far;
    Distance distance;
    double answerBytes;
    bool choosesNear;
};

UpstreamLoad busy(unsigned requests)
{
    UpstreamLoad load;
    load.outstanding = requests;
    return load;
}

UpstreamLoad avoided()
{
    UpstreamLoad load;
    load.ejectedUntil = start + 1s;
    return load;
}

UpstreamLoad silent(Utils::Duration time)
{
    UpstreamLoad load;
    load.outstanding = 1;
    load.awaitingResponseSince = start - time;
    return load;
}

UpstreamLoad slow(double slowness)
{
    UpstreamLoad load;
    load.slowdownFactor = slowness;
    return load;
}

} // namespace

TEST_CASE("The nearest upstream is chosen until waiting there costs more than the way", "[chooseupstream]")
{
    const Row row = GENERATE(values<Row>({
        { "equal, other zone", {}, {}, Distance::SameRegion, 1500, true },
        { "near is full, other zone is free", busy(4), {}, Distance::SameRegion, 1500, false },
        { "near is full, other region is free", busy(4), {}, Distance::OtherRegion, 1500, false },
        { "near has one waiting, large answer from the other region", busy(3), {}, Distance::OtherRegion,
            90000, true },
        { "near is avoided", avoided(), busy(6), Distance::SameRegion, 1500, false },
        { "both are avoided", avoided(), avoided(), Distance::SameRegion, 1500, true },
        { "near has been silent", silent(2s), {}, Distance::SameRegion, 1500, false },
        { "near has been silent for as long as requests take", silent(300ms), {}, Distance::OtherRegion, 1500,
            true },
        { "near is slow", slow(5), {}, Distance::SameRegion, 1500, false },
    }));
    INFO(row.name);
    ServiceStats stats;
    stats.serviceTime = 160ms;
    const std::vector<Candidate> candidates { { { "near" }, &row.near, 2, Distance::SameZone, 1 },
        { { "far" }, &row.far, 2, row.distance, 1 } };
    const std::optional<Placement> placement
        = chooseUpstream(candidates, { &stats, 160ms, row.answerBytes, 1 }, start);
    REQUIRE(placement);
    CHECK((placement->index == 0) == row.choosesNear);
}

TEST_CASE("Nothing is chosen from nothing", "[chooseupstream]")
{
    ServiceStats stats;
    CHECK_FALSE(chooseUpstream({}, { &stats, 160ms, 0, 1 }, start));
}

TEST_CASE("Equal upstreams share the work", "[chooseupstream]")
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
