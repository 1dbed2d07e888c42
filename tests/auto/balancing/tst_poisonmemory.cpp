#include <balancing/poisonmemory.h>

#include <catch2/catch.hpp>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 1000s };

} // namespace

TEST_CASE("A request is held back after few crashes, and forgotten in time", "[poisonmemory]")
{
    PoisonMemory memory;
    CHECK_FALSE(isHeld(memory, 7, start));
    for (unsigned crash = 0; crash < crashesToHold; ++crash) {
        CHECK_FALSE(isHeld(memory, 7, start));
        noteCrash(memory, 7, start);
    }
    CHECK(isHeld(memory, 7, start));
    CHECK_FALSE(isHeld(memory, 8, start));
    CHECK_FALSE(isHeld(memory, 7, start + suspectMemory + 1ms));
    noteHarmless(memory, 7);
    CHECK_FALSE(isHeld(memory, 7, start));
}

TEST_CASE("Memory of suspects is bounded", "[poisonmemory]")
{
    PoisonMemory memory;
    for (std::uint64_t fingerprint = 0; fingerprint < 2 * mostSuspects; ++fingerprint)
        noteCrash(memory, fingerprint, start);
    CHECK(memory.suspects.size() <= mostSuspects);
}
