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
