#include <balancing/poisonrequesttracker.h>

#include <catch2/catch.hpp>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 1000s };

} // namespace

TEST_CASE("A request is held back after few crashes, and forgotten in time", "[poisonmemory]")
{
    PoisonRequestTracker memory;
    CHECK_FALSE(isQuarantined(memory, 7, start));
    for (unsigned crash = 0; crash < crashesToQuarantine; ++crash) {
        CHECK_FALSE(isQuarantined(memory, 7, start));
        recordCrash(memory, 7, start);
    }
    CHECK(isQuarantined(memory, 7, start));
    CHECK_FALSE(isQuarantined(memory, 8, start));
    CHECK_FALSE(isQuarantined(memory, 7, start + suspectRetention + 1ms));
    clearSuspect(memory, 7);
    CHECK_FALSE(isQuarantined(memory, 7, start));
}

TEST_CASE("Memory of suspects is bounded", "[poisonmemory]")
{
    PoisonRequestTracker memory;
    for (std::uint64_t fingerprint = 0; fingerprint < 2 * maxSuspects; ++fingerprint)
        recordCrash(memory, fingerprint, start);
    CHECK(memory.suspects.size() <= maxSuspects);
}
