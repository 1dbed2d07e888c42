#include <relay/datagrambudget.h>

#include <catch2/catch.hpp>

using namespace Relay;
using namespace std::chrono_literals;

TEST_CASE("Datagrams use no more than a VM may spend on control", "[datagrambudget]")
{
    constexpr std::size_t bytesPerSecond = 8000;
    constexpr std::size_t seconds = 60;
    constexpr std::size_t burstSeconds = 3;
    DatagramBudget budget;
    const Utils::Instant start { 100s };
    std::size_t sent = 0;
    for (Utils::Duration elapsed {}; elapsed < std::chrono::seconds(seconds); elapsed += 50ms) {
        while (tryConsume(budget, 1000, start + elapsed))
            sent += 1000;
    }
    CHECK(sent >= bytesPerSecond * seconds);
    CHECK(sent <= bytesPerSecond * (seconds + burstSeconds));
}

TEST_CASE("A refused send takes nothing from the budget", "[datagrambudget]")
{
    DatagramBudget budget;
    const Utils::Instant start { 100s };
    CHECK(tryConsume(budget, 20000, start));
    CHECK_FALSE(tryConsume(budget, 20000, start));
    CHECK(tryConsume(budget, 4000, start));
    // The clock does not go back, but a moment may be taken before another.
    CHECK_FALSE(tryConsume(budget, 1000, start - 10s));
    CHECK(tryConsume(budget, 8000, start + 1s));
}
