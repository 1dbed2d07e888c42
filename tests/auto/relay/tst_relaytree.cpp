#include <relay/relaytree.h>

#include <catch2/catch.hpp>

using namespace Relay;

namespace {

const std::map<Utils::ZoneId, Utils::RegionId> regions { { { "a1" }, { "a" } }, { { "a2" }, { "a" } },
    { { "b1" }, { "b" } }, { { "b2" }, { "b" } } };

} // namespace

TEST_CASE("The nearest relay with the fewest subscribers for its size is chosen", "[relaytree]")
{
    struct Row {
        const char* name;
        std::vector<RelayCandidate> candidates;
        const char* zone;
        std::optional<std::string> relay;
    };
    const Row row = GENERATE(values<Row>({
        { "no candidate", {}, "a1", std::nullopt },
        { "in the zone, though it has more subscribers",
            { { "other zone", { "a2" }, 0, 20 }, { "same zone", { "a1" }, 9, 20 } }, "a1", "same zone" },
        { "in the region", { { "other region", { "b1" }, 0, 20 }, { "same region", { "a2" }, 9, 20 } }, "a1",
            "same region" },
        { "in another region", { { "other region", { "b1" }, 3, 20 } }, "a1", "other region" },
        { "unknown zone", { { "other region", { "b1" }, 3, 20 } }, "c", "other region" },
        { "fewest subscribers", { { "1", { "a1" }, 3, 20 }, { "2", { "a1" }, 2, 20 } }, "a1", "2" },
        { "a larger share of a core", { { "small", { "a1" }, 1, 10 }, { "large", { "a1" }, 8, 50 } }, "a1",
            "large" },
        { "a full one is passed over",
            { { "full", { "a1" }, maxRelaySubscribers, 100 }, { "same region", { "a2" }, 40, 10 } }, "a1",
            "same region" },
        { "all are full", { { "full", { "a1" }, maxRelaySubscribers, 100 } }, "a1", std::nullopt },
        { "the same choice whatever the order", { { "2", { "a1" }, 0, 20 }, { "1", { "a1" }, 0, 20 } }, "a1",
            "1" },
    }));
    INFO(row.name);
    CHECK(chooseRelay(row.candidates, { row.zone }, regions) == row.relay);
}

TEST_CASE("VMs that ask one after the other are spread over the relays of their zone", "[relaytree]")
{
    // 2,500 VMs of the planned size, in 13 zones; 64 of them are served by the leader.
    std::map<Utils::ZoneId, Utils::RegionId> manyRegions;
    std::vector<RelayCandidate> candidates;
    for (unsigned index = 0; index < maxDirectSubscribers; ++index) {
        const std::string zone = "z" + std::to_string(index % 13);
        manyRegions[{ zone }] = { "r" + std::to_string(index % 13 % 5) };
        candidates.push_back({ "relay-" + std::to_string(index), { zone }, 0, 20 });
    }
    for (unsigned index = 0; index < 2500 - maxDirectSubscribers; ++index) {
        const std::optional<std::string> relay
            = chooseRelay(candidates, { "z" + std::to_string(index % 13) }, manyRegions);
        REQUIRE(relay);
        for (RelayCandidate& candidate : candidates)
            candidate.subscribers += candidate.address == *relay ? 1 : 0;
    }
    for (const RelayCandidate& candidate : candidates)
        CHECK(candidate.subscribers <= maxRelaySubscribers);
}

TEST_CASE(
    "A VM with clearly more capacity takes the place of the weakest that relays to no others", "[relaytree]")
{
    struct Row {
        const char* name;
        std::vector<RelayCandidate> served;
        double capacity;
        bool isDirect;
        std::optional<std::size_t> replaced;
    };
    const RelayCandidate weak { "weak", { "a1" }, 0, 10, 20 };
    const RelayCandidate relayingWeak { "relaying", { "a1" }, 3, 10, 20 };
    const RelayCandidate strong { "strong", { "a1" }, 0, 50, 200 };
    const RelayCandidate unknownLink { "former build", { "a1" }, 0, 50, 0 };
    const double weakCapacity = relayCapacity(10, 20);
    const double strongCapacity = relayCapacity(50, 200);
    const Row row = GENERATE_COPY(values<Row>({
        { "nobody is served", {}, strongCapacity, false, std::nullopt },
        { "a weak VM, among weak ones", { weak, weak }, weakCapacity, false, std::nullopt },
        { "a strong VM, among strong ones", { strong, unknownLink }, strongCapacity, false, std::nullopt },
        { "a strong VM", { strong, weak, relayingWeak }, strongCapacity, true, 1 },
        { "a strong VM, while all weak ones relay", { strong, relayingWeak }, strongCapacity, true,
            std::nullopt },
        { "a strong processor on a weak link", { weak }, relayCapacity(50, 20), false, std::nullopt },
        { "a VM of a build that does not say", { weak }, relayCapacity(0, 0), false, std::nullopt },
    }));
    INFO(row.name);
    CHECK(deservesDirectPlace(row.served, row.capacity) == row.isDirect);
    CHECK(chooseReplaced(row.served, row.capacity) == row.replaced);
}
