#include <relay/patience.h>
#include <relay/sourcesearch.h>

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

TEST_CASE("The waits of a VM for sources in a row end before a change is due", "[patience]")
{
    // Guards against waits that are bounded one by one, but together last longer than a change may take.
    struct Row {
        const char* name;
        Utils::Duration changeTimeout;
        /// When the VM learns, after it last had the newest records, that its source has not.
        Utils::Duration learnedAfter;
        bool isRelay;
        bool storeIsRemote;
    };
    const Row row = GENERATE(values<Row>({
        { "leader is late", 4s, 1650ms, false, false },
        { "relay is late", 4s, 2150ms, true, false },
        { "relay is late, remote store", 4s, 2150ms, true, true },
        { "relay is silent", 4s, 2700ms, false, true },
        { "relay is late, shorter time", 3s, 2150ms, true, true },
    }));
    INFO(row.name);
    constexpr Utils::Instant confirmedAt { 100s };
    constexpr Utils::Duration readTime = 400ms;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        const Utils::Instant latest = latestStoreRead(confirmedAt, row.changeTimeout, seed * 7919);
        const Utils::Duration usual = row.isRelay ? staleRelayPatience(row.changeTimeout, seed * 7919)
                                                  : staleSourcePatience(row.changeTimeout, seed * 7919);
        const Utils::Instant learnedAt = confirmedAt + row.learnedAfter;
        const Utils::Instant leftAt = learnedAt
            + std::clamp(latest - sourceSearchReserve - learnedAt, Utils::Duration::zero(), usual);
        SearchSituation situation { true, row.storeIsRemote, false, seed * 7919 };
        situation.timeLeft = std::max(latest - leftAt, Utils::Duration::zero());
        const Utils::Instant readAt = leftAt + sourceSearchTimeout(situation);
        CHECK(readAt + readTime <= confirmedAt + row.changeTimeout);
    }
}
