#include <balancing/loadmodel.h>
#include <balancing/preferredupstreams.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 1000s };

/// Upstreams of four zones of equal size, seen from the first one.
std::vector<Candidate> makeCandidates(std::size_t count, const UpstreamLoad& load)
{
    const Distance distances[]
        = { Distance::SameZone, Distance::SameRegion, Distance::OtherRegion, Distance::OtherRegion };
    std::vector<Candidate> candidates;
    candidates.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        candidates.push_back({ { "i-" + std::to_string(index) }, &load, 2, distances[index % 4], 1 });
    return candidates;
}

std::vector<std::string> idsOf(const std::vector<Candidate>& candidates)
{
    std::vector<std::string> ids;
    ids.reserve(candidates.size());
    for (const Candidate& candidate : candidates)
        ids.push_back(candidate.id.value);
    std::sort(ids.begin(), ids.end());
    return ids;
}

} // namespace

TEST_CASE("A VM prefers a few upstreams of a large service, the nearest first", "[preferredupstreams]")
{
    struct Row {
        std::size_t upstreams;
        std::size_t kept;
    };
    const Row row = GENERATE(values<Row>({ { 8, 8 }, { 19, 19 }, { 20, 10 }, { 134, 10 } }));
    const UpstreamLoad idle;
    std::vector<Candidate> candidates = makeCandidates(row.upstreams, idle);
    keepPreferred(candidates, {}, 7, start);
    CHECK(candidates.size() == row.kept);
}

TEST_CASE("Preferred upstreams stay while others come and go", "[preferredupstreams]")
{
    const UpstreamLoad idle;
    std::vector<Candidate> before = makeCandidates(80, idle);
    std::vector<Candidate> after = makeCandidates(84, idle);
    after.erase(after.begin() + 4);
    keepPreferred(before, {}, 7, start);
    keepPreferred(after, {}, 7, start);
    std::vector<std::string> common;
    const std::vector<std::string> beforeIds = idsOf(before);
    const std::vector<std::string> afterIds = idsOf(after);
    std::set_intersection(
        beforeIds.begin(), beforeIds.end(), afterIds.begin(), afterIds.end(), std::back_inserter(common));
    CHECK(common.size() >= 7);
}

TEST_CASE("Preferred upstreams without a free slot are passed over", "[preferredupstreams]")
{
    struct Row {
        const char* name;
        unsigned outstanding;
        Utils::Duration ejected;
        std::size_t kept;
    };
    const Row row = GENERATE(values<Row>({
        { "idle", 0, 0ms, 10 },
        { "one slot free", 1, 0ms, 10 },
        { "all busy", 2, 0ms, 80 },
        { "ejected", 0, 100ms, 80 },
    }));
    INFO(row.name);
    UpstreamLoad load;
    load.outstanding = row.outstanding;
    load.ejectedUntil = start + row.ejected;
    std::vector<Candidate> candidates = makeCandidates(80, load);
    keepPreferred(candidates, {}, 7, start);
    CHECK(candidates.size() == row.kept);
}

TEST_CASE("The VMs together prefer all upstreams about equally", "[preferredupstreams]")
{
    const UpstreamLoad idle;
    std::map<std::string, std::size_t> uses;
    constexpr std::uint64_t vms = 120;
    for (std::uint64_t vm = 1; vm <= vms; ++vm) {
        std::vector<Candidate> candidates = makeCandidates(120, idle);
        keepPreferred(candidates, {}, vm, start);
        for (const Candidate& candidate : candidates) {
            if (candidate.distance == Distance::SameZone)
                ++uses[candidate.id.value];
        }
    }
    REQUIRE(uses.size() == 30);
    const auto most = std::max_element(uses.begin(), uses.end(),
        [](const auto& one, const auto& other) { return one.second < other.second; });
    constexpr std::size_t even = vms * 6 / 30;
    CHECK(most->second <= even * 2);
}
