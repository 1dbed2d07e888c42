#include <balancing/loadmodel.h>

#include <catch2/catch.hpp>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 1000s };

ResponseSample makeSample(Utils::Duration latency, std::optional<Utils::Duration> baselineLatency)
{
    ResponseSample sample;
    sample.latency = latency;
    sample.baselineLatency = baselineLatency;
    return sample;
}

} // namespace

TEST_CASE("The weight of a reported load decreases with its age", "[loadmodel]")
{
    UpstreamLoad load;
    ServiceStats stats;
    ResponseSample sample = makeSample(160ms, std::nullopt);
    sample.reportedLoad = Routing::ReportedLoad { 2, 6, 2 };
    recordRequestSent(load, start);
    recordResponse(load, stats, sample, start);
    const double fresh = estimateLoad(load, stats, start);
    const double later = estimateLoad(load, stats, start + reportedLoadHalfLife);
    const double old = estimateLoad(load, stats, start + 20 * reportedLoadHalfLife);
    CHECK(fresh == Approx(8));
    CHECK(later < fresh);
    CHECK(old == Approx(stats.meanOtherVmRequests).margin(0.01));
}

TEST_CASE("Fast responses on a fast route do not lower the slowdown factor of an upstream", "[loadmodel]")
{
    // Probe requests on routes of their own complete within a millisecond. When their latency was not
    // compared with the mean of the route, one upstream seemed 50 times faster than the others and received
    // most keys.
    UpstreamLoad load;
    ServiceStats stats;
    for (int request = 0; request < 50; ++request) {
        recordRequestSent(load, start);
        recordResponse(load, stats, makeSample(1ms, 1ms), start);
    }
    CHECK(load.slowdownFactor == Approx(1).margin(0.01));
}

TEST_CASE("The slowdown factor follows the ratio of the latency to the mean of the route", "[loadmodel]")
{
    struct Row {
        const char* name;
        Utils::Duration latency;
        unsigned waiting;
        double minFactor;
        double maxFactor;
    };
    const Row row = GENERATE(values<Row>({
        { "as usual", 160ms, 0, 0.95, 1.05 },
        { "five times slower", 800ms, 0, 4.5, 5.1 },
        { "faster", 107ms, 0, 0.6, 0.75 },
        { "behind a queue, says nothing", 800ms, 3, 1, 1 },
        { "a wild figure is bounded", 60s, 0, 7, 8 },
    }));
    INFO(row.name);
    UpstreamLoad load;
    ServiceStats stats;
    for (int request = 0; request < 30; ++request) {
        ResponseSample sample = makeSample(row.latency, 160ms);
        sample.reportedLoad = Routing::ReportedLoad { 2, row.waiting, 2 };
        recordRequestSent(load, start);
        recordResponse(load, stats, sample, start);
    }
    CHECK(load.slowdownFactor >= row.minFactor);
    CHECK(load.slowdownFactor <= row.maxFactor);
}

TEST_CASE("Consecutive failures eject an upstream for increasing durations", "[loadmodel]")
{
    UpstreamLoad load;
    recordRequestSent(load, start);
    recordFailure(load, start);
    CHECK(load.ejectedUntil <= start);
    recordFailure(load, start);
    CHECK(load.ejectedUntil == start + minEjectionDuration);
    for (int failure = 0; failure < 10; ++failure)
        recordFailure(load, start);
    CHECK(load.ejectedUntil == start + maxEjectionDuration);
}

TEST_CASE("An abandoned request does not count as a failure of the upstream", "[loadmodel]")
{
    UpstreamLoad load;
    recordRequestSent(load, start);
    recordAbandonedRequest(load);
    CHECK(load.outstanding == 0);
    CHECK(load.consecutiveFailures == 0);
    CHECK_FALSE(load.awaitingResponseSince);
}

TEST_CASE("The expected latency grows with the number of requests in flight", "[loadmodel]")
{
    ServiceStats stats;
    stats.serviceTime = 160ms;
    Utils::Duration last {};
    for (unsigned requests = 0; requests < 8; ++requests) {
        UpstreamLoad load;
        load.outstanding = requests;
        const Utils::Duration expected = estimateLatency(load, stats, 160ms, 2, 1, start);
        CHECK(expected > last);
        last = expected;
    }
    CHECK(last > 600ms);
}
