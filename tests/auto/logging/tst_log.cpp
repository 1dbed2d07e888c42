#include <logging/log.h>

#include <catch2/catch.hpp>

TEST_CASE("a line is one JSON object whatever its values hold", "[log]")
{
    const std::string line = Logging::formatLine(Logging::Level::Warning, "daemon", "refused",
        { { "reason", "a\"b\n" }, { "count", 3U }, { "late", true } });
    REQUIRE(line
        == R"({"level":"warning","process":"daemon","event":"refused","reason":"a\"b\n","count":3,"late":true})");
}
