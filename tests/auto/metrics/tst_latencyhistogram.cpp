#include <metrics/latencyhistogram.h>

#include <catch2/catch.hpp>

TEST_CASE("quantiles stay within a bucket of the recorded value", "[latencyhistogram]")
{
    const std::int64_t milliseconds = GENERATE(1, 7, 40, 900, 20000);
    Metrics::LatencyHistogram histogram;
    for (unsigned round = 0; round < 100; ++round)
        histogram.record(std::chrono::milliseconds(milliseconds));
    const double seconds = static_cast<double>(milliseconds) / 1000;
    constexpr double bucketRatio = 1.3;
    REQUIRE(histogram.count() == 100);
    REQUIRE(histogram.quantileSeconds(0.99) >= seconds);
    REQUIRE(histogram.quantileSeconds(0.99) <= seconds * bucketRatio);
    REQUIRE(histogram.sumSeconds() == Approx(seconds * 100));
}

TEST_CASE("values outside the buckets are still counted", "[latencyhistogram]")
{
    Metrics::LatencyHistogram histogram;
    histogram.record(Utils::Duration(0));
    histogram.record(std::chrono::hours(1));
    REQUIRE(histogram.count() == 2);
    REQUIRE(histogram.buckets().back().cumulative == 1);
}
