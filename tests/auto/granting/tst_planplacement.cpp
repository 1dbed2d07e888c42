#include <granting/grantingconstants.h>
#include <granting/planplacement.h>

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace Granting;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t keyCount = 65536;

std::vector<PlacementTarget> servers(unsigned count, double capacity = 12.5)
{
    std::vector<PlacementTarget> result;
    for (unsigned index = 0; index < count; ++index)
        result.push_back({ { "u" + std::to_string(index) }, capacity });
    return result;
}

/// \a total requests a second spread evenly over keys from \a first on.
KeyLoad loadOn(std::uint16_t first, unsigned count, double total)
{
    KeyLoad load;
    load.rates.assign(keyCount, 0);
    for (unsigned key = first; key < first + count; ++key)
        load.rates[key] += static_cast<float>(total / count);
    return load;
}

void add(KeyLoad& load, const KeyLoad& other)
{
    for (std::size_t key = 0; key < keyCount; ++key)
        load.rates[key] += other.rates[key];
}

std::map<std::string, double> loadsOf(const std::vector<KeyPlacement>& placements, const KeyLoad& load)
{
    std::map<std::string, double> loads;
    for (const KeyPlacement& placement : placements) {
        for (std::size_t key = placement.span.first; key <= placement.span.last; ++key)
            loads[placement.holder.value] += load.rates[key];
    }
    return loads;
}

double worstOf(const std::vector<KeyPlacement>& placements, const KeyLoad& load)
{
    double worst = 0;
    const std::map<std::string, double> loads = loadsOf(placements, load);
    for (auto it = loads.begin(); it != loads.end(); ++it)
        worst = std::max(worst, it->second);
    return worst;
}

void checkCover(const std::vector<KeyPlacement>& placements)
{
    std::uint32_t next = 0;
    for (const KeyPlacement& placement : placements) {
        REQUIRE(placement.span.first == next);
        REQUIRE(placement.span.last >= placement.span.first);
        next = placement.span.last + 1U;
    }
    REQUIRE(next == keyCount);
}

/// Plans until nothing changes; the number of rounds that took.
unsigned settle(std::vector<KeyPlacement>& placements, const std::vector<PlacementTarget>& among,
    const KeyLoad& load, unsigned most)
{
    for (unsigned round = 0; round < most; ++round) {
        const std::optional<std::vector<KeyPlacement>> plan = planPlacement(placements, among, load);
        if (!plan)
            return round;
        checkCover(*plan);
        placements = *plan;
    }
    return most;
}

std::uint32_t keysThatMoved(const std::vector<KeyPlacement>& one, const std::vector<KeyPlacement>& other)
{
    std::uint32_t moved = 0;
    std::size_t index = 0;
    for (const KeyPlacement& placement : one) {
        for (std::size_t key = placement.span.first; key <= placement.span.last; ++key) {
            while (other[index].span.last < key)
                ++index;
            moved += other[index].holder != placement.holder ? 1 : 0;
        }
    }
    return moved;
}

} // namespace

TEST_CASE("The first placement gives every upstream its share of the keys", "[planplacement]")
{
    const unsigned count = GENERATE(1U, 2U, 13U, 150U);
    const std::optional<std::vector<KeyPlacement>> plan = planPlacement({}, servers(count), {});
    REQUIRE(plan);
    checkCover(*plan);
    CHECK(plan->size() == count);
    for (const KeyPlacement& placement : *plan)
        CHECK(Routing::countKeys(placement.span) == Approx(keyCount / count).epsilon(0.1));
}

TEST_CASE("Without upstreams there is no plan", "[planplacement]") { CHECK_FALSE(planPlacement({}, {}, {})); }

TEST_CASE("An even load stays where it is", "[planplacement]")
{
    std::vector<KeyPlacement> placements = *planPlacement({}, servers(13), {});
    CHECK_FALSE(planPlacement(placements, servers(13), loadOn(0, keyCount - 1, 80)));
}

TEST_CASE("A hot span is spread within few rounds, and little else moves", "[planplacement]")
{
    struct Row {
        const char* name;
        unsigned keys;
        double hot;
        double target;
    };
    // Association, quiet-1: 45 of 100 requests for 200 keys that lie together, of 80 a second on 13
    // upstreams.
    const Row row = GENERATE(values<Row>({
        { "200 keys", 200, 36, 10 },
        { "60 keys", 60, 36, 10 },
    }));
    INFO(row.name);
    std::vector<KeyPlacement> placements = *planPlacement({}, servers(13), {});
    const std::vector<KeyPlacement> before = placements;
    KeyLoad load = loadOn(0, keyCount - 1, 44);
    add(load, loadOn(20000, row.keys, row.hot));
    CHECK(settle(placements, servers(13), load, 4) < 4);
    CHECK(worstOf(placements, load) < row.target);
    CHECK(keysThatMoved(before, placements) < keyCount / 4);
}

TEST_CASE("A single hot key is left alone on its upstream", "[planplacement]")
{
    std::vector<KeyPlacement> placements = *planPlacement({}, servers(13), {});
    KeyLoad load = loadOn(0, keyCount - 1, 44);
    add(load, loadOn(22269, 1, 28));
    settle(placements, servers(13), load, 6);
    const std::map<std::string, double> loads = loadsOf(placements, load);
    for (const KeyPlacement& placement : placements) {
        if (Routing::contains(placement.span, 22269))
            CHECK(loads.at(placement.holder.value) < 29);
    }
}

TEST_CASE("An upstream that can't be relieved does not keep others from it", "[planplacement]")
{
    // Load pattern: one key gets more than its upstream serves, and a busy span lies elsewhere.
    std::vector<KeyPlacement> placements = *planPlacement({}, servers(13), {});
    KeyLoad load = loadOn(0, keyCount - 1, 44);
    add(load, loadOn(22269, 1, 28));
    add(load, loadOn(50000, 200, 20));
    settle(placements, servers(13), load, 6);
    const std::map<std::string, double> loads = loadsOf(placements, load);
    for (const KeyPlacement& placement : placements) {
        if (!Routing::contains(placement.span, 22269))
            CHECK((loads.at(placement.holder.value) < 12.5 || loads.at(placement.holder.value) > 27));
    }
}

TEST_CASE("At the limit of segments keys still reach upstreams that have none", "[planplacement]")
{
    // kuoo-brama-grown trouble-1 --vary --seed 526247903427: 531 segments on 79 of 165 upstreams, and not one
    // move in 16 seconds.
    const std::vector<PlacementTarget> all = servers(160);
    std::vector<KeyPlacement> placements;
    for (std::uint32_t index = 0; index < maxSegments; ++index) {
        const std::uint32_t size = keyCount / maxSegments;
        placements.push_back({ { static_cast<std::uint16_t>(index * size),
                                   static_cast<std::uint16_t>((index + 1) * size - 1) },
            all[index % 80].id });
    }
    const KeyLoad load = loadOn(0, keyCount - 1, 1100);
    settle(placements, all, load, 6);
    CHECK(loadsOf(placements, load).size() == 160);
    CHECK(worstOf(placements, load) < 12.5);
    CHECK(placements.size() <= maxSegments + 8);
}

TEST_CASE("The keys of lost upstreams go to all others", "[planplacement]")
{
    const std::vector<PlacementTarget> all = servers(13);
    std::vector<KeyPlacement> placements = *planPlacement({}, all, {});
    const KeyLoad load = loadOn(0, keyCount - 1, 80);
    const std::vector<PlacementTarget> left(all.begin() + 3, all.end());
    const std::vector<KeyPlacement> before = placements;
    placements = *planPlacement(placements, left, load);
    checkCover(placements);
    for (const KeyPlacement& placement : placements)
        CHECK_FALSE(placement.holder.value.empty());
    CHECK(worstOf(placements, load) < 1.35 * 80 / 10);
    CHECK(keysThatMoved(before, placements) < keyCount * 4 / 13);
}

TEST_CASE("An upstream that joins gets keys", "[planplacement]")
{
    std::vector<KeyPlacement> placements = *planPlacement({}, servers(13), {});
    const KeyLoad load = loadOn(0, keyCount - 1, 60);
    settle(placements, servers(17), load, 3);
    CHECK(loadsOf(placements, load).size() == 17);
}

TEST_CASE("Faster upstreams get more", "[planplacement]")
{
    std::vector<PlacementTarget> among = servers(4, 10);
    among[3].capacity = 30;
    const std::vector<KeyPlacement> placements = *planPlacement({}, among, {});
    CHECK(Routing::countKeys(placements[3].span) == Approx(keyCount / 2).epsilon(0.1));
}
