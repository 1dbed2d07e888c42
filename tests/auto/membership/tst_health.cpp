#include <membership/health.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

namespace {

std::set<Utils::VmId> vmsNumbered(unsigned count)
{
    std::set<Utils::VmId> vms;
    for (unsigned number = 0; number < count; ++number)
        vms.insert({ "vm-" + std::to_string(number) });
    return vms;
}

} // namespace

TEST_CASE("a VM is alive only by its own recent answer", "[health]")
{
    const Utils::Instant now(std::chrono::seconds(100));
    Membership::VmHealth health;
    REQUIRE_FALSE(Membership::isAlive(health, now, std::chrono::seconds(1)));
    health.lastHeard = now - std::chrono::seconds(1);
    REQUIRE(Membership::isAlive(health, now, std::chrono::seconds(1)));
    REQUIRE_FALSE(Membership::isAlive(health, now + Utils::Duration(1), std::chrono::seconds(1)));
}

TEST_CASE("one VM more or less leaves the order of the others", "[health]")
{
    const unsigned count = GENERATE(3, 12, 200);
    const std::vector<Utils::VmId> before = Membership::rendezvousOrder(vmsNumbered(count), "pool");
    std::set<Utils::VmId> fewer = vmsNumbered(count);
    fewer.erase(before.front());
    const std::vector<Utils::VmId> after = Membership::rendezvousOrder(fewer, "pool");
    REQUIRE(std::vector<Utils::VmId>(before.begin() + 1, before.end()) == after);
}

TEST_CASE("heartbeats do not grow with the number of VMs", "[health]")
{
    const unsigned count = GENERATE(2, 12, 100, 2500);
    const std::size_t limit = 16;
    const std::set<Utils::VmId> partners { { "vm-0" }, { "vm-1" } };
    const std::set<Utils::VmId> targets
        = Membership::heartbeatTargets(vmsNumbered(count), partners, { "vm-1" }, limit);
    REQUIRE(targets.size() <= limit + partners.size());
    REQUIRE(targets.contains({ "vm-0" }));
    REQUIRE_FALSE(targets.contains({ "vm-1" }));
}

TEST_CASE("a pool has few watchers, and every VM names the same", "[health]")
{
    const unsigned count = GENERATE(2, 3, 12, 2500);
    const std::vector<Utils::VmId> watchers
        = Membership::watchersOf(vmsNumbered(count), { "pool" }, { "vm-0" }, { "vm-1" });
    REQUIRE(watchers.size() == std::min(count - 2, 3U));
    for (const Utils::VmId& watcher : watchers)
        REQUIRE((watcher.value != "vm-0" && watcher.value != "vm-1"));
}
