#include <placement/choosedispatchers.h>
#include <placement/proposerorder.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

namespace {

using Placement::DispatchInput;
using Placement::DispatchPair;
using Pairs = std::map<Utils::PoolId, DispatchPair>;

Placement::VmCandidate candidate(const std::string& region, std::size_t zone, std::size_t number)
{
    const std::string zoneName = region + "-" + std::to_string(zone);
    return { { Utils::VmId { zoneName + "-" + std::to_string(number) }, 1 }, Utils::ZoneId { zoneName },
        Utils::RegionId { region } };
}

/// \a zones zones of \a vms VMs in regions "west" and "east", and \a pools pools by turns in either.
DispatchInput makeInput(std::size_t zones, std::size_t vms, std::size_t pools)
{
    DispatchInput input;
    for (const char* const region : { "west", "east" }) {
        for (std::size_t zone = 0; zone < zones; ++zone) {
            for (std::size_t number = 0; number < vms; ++number)
                input.vms.push_back(candidate(region, zone, number));
        }
    }
    for (std::size_t pool = 0; pool < pools; ++pool)
        input.pools[Utils::PoolId { "p" + std::to_string(pool) }]
            = Utils::RegionId { pool % 2 == 0 ? "west" : "east" };
    return input;
}

const Placement::VmCandidate& vmOf(const DispatchInput& input, const Agreement::VmStart& start)
{
    return *std::find_if(input.vms.begin(), input.vms.end(),
        [&](const Placement::VmCandidate& vm) { return vm.start == start; });
}

std::size_t mostDuties(const Pairs& pairs)
{
    std::map<Agreement::VmStart, std::size_t> duties;
    std::size_t most = 0;
    for (const std::pair<const Utils::PoolId, DispatchPair>& entry : pairs)
        most = std::max(most, ++duties[entry.second.dispatcher]);
    return most;
}

std::size_t changedDispatchers(const Pairs& one, const Pairs& other)
{
    return static_cast<std::size_t>(
        std::count_if(one.begin(), one.end(), [&](const std::pair<const Utils::PoolId, DispatchPair>& entry) {
            return other.at(entry.first).dispatcher != entry.second.dispatcher;
        }));
}

void removeVm(DispatchInput& input, const Agreement::VmStart& start)
{
    std::erase_if(input.vms, [&](const Placement::VmCandidate& vm) { return vm.start == start; });
}

} // namespace

TEST_CASE("dispatchers are local, their successors in another zone, duties spread", "[choosedispatchers]")
{
    struct Row {
        std::size_t zones;
        std::size_t vms;
        std::size_t pools;
        std::size_t most;
    };
    const Row row
        = GENERATE(values<Row>({ { 2, 3, 8, 1 }, { 2, 3, 24, 3 }, { 3, 50, 400, 2 }, { 1, 2, 8, 3 } }));
    const DispatchInput input = makeInput(row.zones, row.vms, row.pools);
    const Pairs pairs = Placement::chooseDispatchers(input);
    REQUIRE(pairs.size() == row.pools);
    for (const std::pair<const Utils::PoolId, DispatchPair>& entry : pairs) {
        const Placement::VmCandidate& dispatcher = vmOf(input, entry.second.dispatcher);
        const Placement::VmCandidate& successor = vmOf(input, entry.second.successor);
        CHECK(dispatcher.region == input.pools.at(entry.first));
        CHECK(dispatcher.zone != successor.zone);
        CHECK((successor.region == dispatcher.region) == (row.zones > 1));
    }
    CHECK(mostDuties(pairs) <= row.most);
}

TEST_CASE("VMs that come and go change few dispatchers", "[choosedispatchers]")
{
    DispatchInput input = makeInput(2, 3, 24);
    input.present = Placement::chooseDispatchers(input);
    REQUIRE(Placement::chooseDispatchers(input) == input.present);

    const Agreement::VmStart lost = input.present.at(Utils::PoolId { "p0" }).dispatcher;
    const std::size_t duties = static_cast<std::size_t>(std::count_if(input.present.begin(),
        input.present.end(), [&](const std::pair<const Utils::PoolId, DispatchPair>& entry) {
            return entry.second.dispatcher == lost;
        }));
    removeVm(input, lost);
    const Pairs afterLoss = Placement::chooseDispatchers(input);
    CHECK(changedDispatchers(input.present, afterLoss) == duties);
    CHECK(mostDuties(afterLoss) <= 3);

    input.present = afterLoss;
    input.vms.push_back(candidate("west", 0, 9));
    CHECK(changedDispatchers(afterLoss, Placement::chooseDispatchers(input)) <= 2);
}

TEST_CASE("a successor takes the place of a lost dispatcher", "[choosedispatchers]")
{
    DispatchInput input = makeInput(2, 3, 2);
    input.present = Placement::chooseDispatchers(input);
    const DispatchPair before = input.present.at(Utils::PoolId { "p0" });
    removeVm(input, before.dispatcher);
    REQUIRE(Placement::chooseDispatchers(input).at(Utils::PoolId { "p0" }).dispatcher == before.successor);
}

TEST_CASE("what there is no VM for stays empty or goes abroad", "[choosedispatchers]")
{
    DispatchInput input = makeInput(1, 1, 1);
    removeVm(input, candidate("west", 0, 0).start);
    const DispatchPair alone = Placement::chooseDispatchers(input).at(Utils::PoolId { "p0" });
    REQUIRE(alone.dispatcher == candidate("east", 0, 0).start);
    REQUIRE(alone.successor == Agreement::VmStart {});
    input.vms.clear();
    REQUIRE(Placement::chooseDispatchers(input).empty());
}

TEST_CASE("no VM is both dispatcher and successor, and duties stay bounded", "[choosedispatchers]")
{
    const bool holds = rc::check("pairs after any change of VMs", [] {
        DispatchInput input = makeInput(*rc::gen::inRange<std::size_t>(1, 4),
            *rc::gen::inRange<std::size_t>(1, 5), *rc::gen::inRange<std::size_t>(1, 30));
        input.present = Placement::chooseDispatchers(input);
        std::erase_if(input.vms, [](const Placement::VmCandidate&) { return *rc::gen::inRange(0, 3) == 0; });
        const Pairs pairs = Placement::chooseDispatchers(input);
        RC_ASSERT(pairs == Placement::chooseDispatchers(input));
        RC_ASSERT(pairs.empty() == input.vms.empty());
        for (const std::pair<const Utils::PoolId, DispatchPair>& entry : pairs)
            RC_ASSERT(entry.second.dispatcher.vm != entry.second.successor.vm);
    });
    REQUIRE(holds);
}

TEST_CASE("dispatcher and successor propose first", "[choosedispatchers]")
{
    const DispatchInput input = makeInput(2, 3, 4);
    const DispatchPair present { input.vms[7].start, input.vms[2].start };
    const std::vector<Agreement::VmStart> order
        = Placement::proposerOrder(Utils::PoolId { "p0" }, present, input.vms);
    REQUIRE(order.size() == input.vms.size());
    REQUIRE(order[0] == present.dispatcher);
    REQUIRE(order[1] == present.successor);
    REQUIRE(order != Placement::proposerOrder(Utils::PoolId { "p1" }, present, input.vms));
}
