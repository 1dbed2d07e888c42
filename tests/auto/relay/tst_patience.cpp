#include <relay/patience.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Relay;
using namespace std::chrono_literals;

TEST_CASE(
    "Subscribers leave a late source spread over the time that the bound of a change leaves", "[patience]")
{
    struct Row {
        Utils::Duration changeTimeout;
        Utils::Duration earliest;
        Utils::Duration latest;
        Utils::Duration silent;
    };
    const Row row = GENERATE(values<Row>({
        { 2000ms, 0ms, 0ms, 1000ms },
        { 2500ms, 0ms, 0ms, 1000ms },
        { 3000ms, 250ms, 500ms, 1250ms },
        { 4000ms, 750ms, 1500ms, 1750ms },
    }));
    INFO(Utils::toMilliseconds(row.changeTimeout));
    Utils::Duration earliest = 1h;
    Utils::Duration latest {};
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        const Utils::Duration patience = staleSourcePatience(row.changeTimeout, seed * 7919);
        earliest = std::min(earliest, patience);
        latest = std::max(latest, patience);
    }
    CHECK(earliest >= row.earliest);
    CHECK(latest <= row.latest);
    // At most a tenth of the subscribers leave within a tenth of the time.
    CHECK(latest - earliest >= (row.latest - row.earliest) * 9 / 10);
    CHECK(silentSourceTimeout(row.changeTimeout, 1000ms) == row.silent);
    // A relay has time to find another source first.
    CHECK(staleRelayPatience(row.changeTimeout, 0) >= row.latest + 1s);
}
