#include "decodeoutcome.h"

#include <platform/timetext.h>

#include <catch2/catch.hpp>

using namespace Platform;
using namespace std::chrono_literals;

TEST_CASE("Durations are parsed as numbers with a unit", "[timetext]")
{
    struct Row {
        const char* text;
        std::optional<Utils::Duration> time;
    };
    const Row row = GENERATE(values<Row>({
        { "1500ms", 1500ms },
        { "2.5s", 2500ms },
        { "0ms", 0ms },
        { "0.25ms", 250us },
        { "15s", 15s },
        { "", std::nullopt },
        { "15", std::nullopt },
        { "ms", std::nullopt },
        { "15 s", std::nullopt },
        { "15m", std::nullopt },
        { "-1s", std::nullopt },
        { "nans", std::nullopt },
        { "infs", std::nullopt },
        { "1e99s", std::nullopt },
    }));
    INFO(row.text);
    const std::optional<DecodeError> error
        = PlatformTest::decodeErrorOf([&] { return parseDuration(row.text); });
    REQUIRE(error.has_value() != row.time.has_value());
    if (row.time)
        CHECK(parseDuration(row.text).value() == *row.time);
}

TEST_CASE("Durations are formatted in milliseconds", "[timetext]")
{
    CHECK(formatDuration(4s) == "4000ms");
    CHECK(formatDuration(1500us) == "1ms");
}
