#include <balancing/poisonrequesttracker.h>

#include <catch2/catch.hpp>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 1000s };

} // namespace

TEST_CASE("A request is quarantined after repeated crashes until the retention ends", "[poisonmemory]")
{
    PoisonRequestTracker tracker;
    CHECK_FALSE(isQuarantined(tracker, 7, start));
    for (unsigned crash = 0; crash < crashesToQuarantine; ++crash) {
        CHECK_FALSE(isQuarantined(tracker, 7, start));
        recordCrash(tracker, 7, start);
    }
    CHECK(isQuarantined(tracker, 7, start));
    CHECK_FALSE(isQuarantined(tracker, 8, start));
    CHECK_FALSE(isQuarantined(tracker, 7, start + suspectRetention + 1ms));
    clearSuspect(tracker, 7);
    CHECK_FALSE(isQuarantined(tracker, 7, start));
}

TEST_CASE("The number of suspects is bounded", "[poisonmemory]")
{
    PoisonRequestTracker tracker;
    for (std::uint64_t fingerprint = 0; fingerprint < 2 * maxSuspects; ++fingerprint)
        recordCrash(tracker, fingerprint, start);
    CHECK(tracker.suspects.size() <= maxSuspects);
}
