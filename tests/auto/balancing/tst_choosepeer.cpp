#include <balancing/choosepeer.h>

#include <catch2/catch.hpp>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 1000s };

} // namespace

TEST_CASE("A request goes to a VM nearby with few requests", "[choosepeer]")
{
    struct Row {
        const char* name;
        PeerLoad first;
        PeerLoad second;
        std::optional<std::string> expected;
    };
    const Row row = GENERATE(values<Row>({
        { "nearest first", { Distance::OtherRegion, 0, {} }, { Distance::SameZone, 0, {} }, "second" },
        { "least outstanding at equal distance", { Distance::SameZone, 5, {} }, { Distance::SameZone, 2, {} },
            "second" },
        { "a full one nearby gives way", { Distance::SameZone, 30, {} }, { Distance::SameRegion, 2, {} },
            "second" },
        { "one that declined is avoided", { Distance::SameZone, 0, start + 1ms },
            { Distance::OtherRegion, 0, {} }, "second" },
        { "avoidance ends", { Distance::SameZone, 0, start }, { Distance::OtherRegion, 0, {} }, "first" },
        { "all are avoided", { Distance::SameZone, 0, start + 1ms }, { Distance::SameZone, 0, start + 1ms },
            std::nullopt },
    }));
    INFO(row.name);
    CHECK(choosePeer({ { "first", row.first }, { "second", row.second } }, 7, start) == row.expected);
}

TEST_CASE("Requests of many cut VMs spread over the VMs that are left", "[choosepeer]")
{
    std::map<std::string, PeerLoad> peers;
    for (int peer = 0; peer < 4; ++peer)
        peers["10.0.0." + std::to_string(peer)] = {};
    for (std::uint64_t request = 0; request < 400; ++request) {
        const std::optional<std::string> chosen = choosePeer(peers, request, start);
        REQUIRE(chosen);
        ++peers[*chosen].outstanding;
    }
    for (auto it = peers.begin(); it != peers.end(); ++it) {
        CHECK(it->second.outstanding >= 80);
        CHECK(it->second.outstanding <= 120);
    }
}

TEST_CASE("Without other VMs there is none to ask", "[choosepeer]") { CHECK_FALSE(choosePeer({}, 1, start)); }
