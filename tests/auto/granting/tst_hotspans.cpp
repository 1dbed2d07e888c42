#include "hotspanreplay.h"

#include <granting/grantingconstants.h>

#include <catch2/catch.hpp>

#include <cstdio>

using namespace std::chrono_literals;

namespace {

/// A second, rounded.
constexpr double maxSecondsUntilSpread = 1.5;
/// Of all requests.
constexpr double maxShareBeyondCapacity = 0.05;
constexpr double maxShareDelayed = 0.1;

struct Row {
    const char* name;
    HotSpanLoad load;
};

} // namespace

TEST_CASE("A hot span that moves is spread over idle holders within about a second", "[hotspans]")
{
    // The upstreams can do twice the requests of all callers, but one of them 1.4 % of the busy span's.
    const Row row = GENERATE(values<Row>({
        { "200 keys, all VMs at the leader", { 150, 4, 230ms, 1250, 0.4, 200, 5s, 60, 60 } },
        { "200 keys, half of the VMs behind relays", { 150, 4, 230ms, 1250, 0.4, 200, 5s, 126, 63 } },
        { "60 keys", { 150, 4, 230ms, 1250, 0.4, 60, 5s, 60, 60 } },
        { "two slots", { 136, 2, 150ms, 800, 0.35, 200, 4s, 90, 60 } },
    }));
    INFO(row.name);
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const HotSpanResult result = replayHotSpans(row.load, seed);
        std::printf("%s, seed %u: %.0f requests, beyond capacity %.3f, during moves %.3f, "
                    "spread after %.2f s, %u segments and %u keys moved, up to %u segments\n",
            row.name, static_cast<unsigned>(seed), result.total, result.beyondCapacity / result.total,
            result.duringMoves / result.total, result.secondsUntilSpread,
            static_cast<unsigned>(result.movedSegments), static_cast<unsigned>(result.movedKeys),
            static_cast<unsigned>(result.maxSegments));
        INFO("seed " << seed);
        CHECK(result.beyondCapacity <= maxShareBeyondCapacity * result.total);
        CHECK(result.beyondCapacity + result.duringMoves <= maxShareDelayed * result.total);
        CHECK(result.secondsUntilSpread <= maxSecondsUntilSpread);
        CHECK(result.maxSegments <= Granting::maxSegments);
        CHECK(result.coversAllKeys);
    }
}

TEST_CASE(
    "After the loss of the leader at the peak nothing is stuck and the next span is spread", "[hotspans]")
{
    // Half a second into a span, while its pieces change hands.
    const Utils::Duration lostAfter = GENERATE(values<Utils::Duration>({ 12100ms, 12500ms, 14000ms }));
    const HotSpanResult result = replayHotSpans({ 150, 4, 230ms, 1250, 0.4, 200, 5s, 60, 60, lostAfter }, 1);
    std::printf(
        "leader lost after %.1f s: beyond capacity %.3f, during moves %.3f, longest change %.2f s, last "
        "span spread after %.2f s\n",
        std::chrono::duration<double>(lostAfter).count(), result.beyondCapacity / result.total,
        result.duringMoves / result.total, result.longestChangeSeconds, result.lastSecondsUntilSpread);
    // The time without a leader, the change, and a step each for the two.
    CHECK(result.longestChangeSeconds <= 4.5);
    CHECK(result.lastSecondsUntilSpread <= maxSecondsUntilSpread);
    CHECK(result.coversAllKeys);
}
