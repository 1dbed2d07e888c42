#include <relay/sourcesearch.h>

#include <catch2/catch.hpp>

using namespace Relay;
using namespace std::chrono_literals;

TEST_CASE("Only VMs that are to read the store read it at once", "[sourcesearch]")
{
    struct Row {
        const char* name;
        SearchSituation situation;
        std::chrono::milliseconds earliest;
        std::chrono::milliseconds latest;
        std::chrono::milliseconds latestAtStart;
    };
    // With 2 s until a lost source is noticed, reads of the store begin within the 4 s that large fleets
    // have.
    const Row row = GENERATE(values<Row>({
        { "local store", { false, false, true, 1 }, 0ms, 0ms, 0ms },
        { "remote store", { false, true, false, 1 }, 600ms, 600ms, 3000ms },
        { "large fleet, reader", { true, false, true, 1 }, 0ms, 0ms, 0ms },
        { "large fleet, others", { true, false, false, 1 }, 1000ms, 1900ms, 3000ms },
        { "large fleet, remote store", { true, true, false, 1023 }, 1000ms, 1900ms, 3000ms },
    }));
    INFO(row.name);
    const Utils::Duration timeout = sourceSearchTimeout(row.situation);
    CHECK(timeout >= row.earliest);
    CHECK(timeout <= row.latest);
    CHECK(startupSourceSearchTimeout(row.situation) <= row.latestAtStart);
}

TEST_CASE("VMs of a large fleet that find no source read the store at different times", "[sourcesearch]")
{
    constexpr unsigned vms = 300;
    unsigned inFirstTenth = 0;
    const Utils::Duration first = sourceSearchTimeout({ true, false, false, 0 });
    const Utils::Duration range = sourceSearchTimeout({ true, false, false, 1023 }) - first;
    for (unsigned vm = 0; vm < vms; ++vm) {
        const std::uint64_t seed = vm * 1024 / vms;
        inFirstTenth += sourceSearchTimeout({ true, false, false, seed }) < first + range / 10 ? 1 : 0;
    }
    CHECK(inFirstTenth <= vms / 8);
}

TEST_CASE("While the store fails, a large fleet reads it about as often as a small one", "[sourcesearch]")
{
    constexpr Utils::Duration usual = 600ms;
    CHECK(storeRetryInterval({ false, false, true, 1 }, usual) == usual);
    CHECK(storeRetryInterval({ true, false, true, 1 }, usual) == usual);
    CHECK(storeRetryInterval({ true, true, false, 1 }, usual) >= 4 * usual);
}

TEST_CASE("A VM of a large fleet whose read has failed reads again before a change is long overdue",
    "[sourcesearch]")
{
    // Guards against a VM that reads the store in time, fails, and leaves the next read for 2.5 s to others.
    SearchSituation situation { true, true, false, 1 };
    situation.timeLeft = 0ms;
    CHECK(storeRetryInterval(situation, 600ms) <= 1000ms);
    situation.timeLeft = 100ms;
    CHECK(storeRetryInterval(situation, 600ms) > 1000ms);
}

TEST_CASE("At the first start, VMs that are to lead read the store first", "[sourcesearch]")
{
    CHECK(firstStartDelay(0) == 0ms);
    CHECK(firstStartDelay(0.25) < firstStartDelay(0.5) - 300ms);
    // Traffic starts 8 s after the VMs.
    CHECK(firstStartDelay(1) <= 4s);
}
