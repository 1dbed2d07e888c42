#include <logging/linebudget.h>

#include <catch2/catch.hpp>

using namespace Logging;
using namespace std::chrono_literals;

TEST_CASE("A flood of lines is cut to the rate, and what was left out is counted", "[linebudget]")
{
    LineBudget budget;
    const Utils::Instant start { 1000s };
    unsigned written = 0;
    for (int millisecond = 0; millisecond < 10000; ++millisecond) {
        for (int line = 0; line < 10; ++line)
            written += takeLine(budget, start + millisecond * 1ms) ? 1 : 0;
    }
    CHECK(written == Approx(burstOfLines + 10 * linesPerSecond).epsilon(0.01));
    CHECK(budget.dropped == 100000 - written);
}

TEST_CASE("A usual number of lines is written whole", "[linebudget]")
{
    LineBudget budget;
    Utils::Instant at { 1000s };
    for (int line = 0; line < 5000; ++line) {
        at += 3ms;
        REQUIRE(takeLine(budget, at));
    }
}
