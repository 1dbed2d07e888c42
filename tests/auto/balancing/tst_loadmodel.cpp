#include <balancing/loadmodel.h>

#include <catch2/catch.hpp>

#include <map>
#include <vector>

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

TEST_CASE(
    "The work factor of a report raises the expected latency and fades to the mean of all", "[loadmodel]")
{
    struct Row {
        const char* name;
        std::optional<double> workFactor;
        Utils::Duration age;
        double minFactor;
        double maxFactor;
    };
    const Row row = GENERATE(values<Row>({
        { "not stated", std::nullopt, 0ms, 1, 1 },
        { "as usual", 1.0, 0ms, 1, 1 },
        { "three times slower", 3.0, 0ms, 2.99, 3.01 },
        { "after a half-life", 3.0, workFactorHalfLife, 2.19, 2.21 },
        { "after the next change", 3.0, 800ms, 1.49, 1.51 },
        { "faster", 0.5, 0ms, 0.49, 0.51 },
        { "long ago", 3.0, 60s, 1.39, 1.41 },
    }));
    INFO(row.name);
    ServiceStats stats;
    UpstreamLoad load;
    UpstreamLoad plain;
    const Routing::ReportedLoad reported { 0, 0, 4 };
    Routing::ReportedLoad withFactor = reported;
    withFactor.workFactor = row.workFactor;
    recordRejection(load, stats, withFactor, start);
    recordRejection(plain, stats, reported, start);
    const Utils::Instant at = start + row.age;
    const double ratio = std::chrono::duration<double>(estimateLatency(load, stats, 160ms, 4, 1, at))
        / estimateLatency(plain, stats, 160ms, 4, 1, at);
    CHECK(ratio >= Approx(row.minFactor).margin(1e-4));
    CHECK(ratio <= Approx(row.maxFactor).margin(1e-4));
}

TEST_CASE("A latency that the work factor explains leaves the slowdown factor as it is", "[loadmodel]")
{
    UpstreamLoad load;
    ServiceStats stats;
    for (int request = 0; request < 30; ++request) {
        const double factor = request % 5 == 0 ? 3 : 1;
        ResponseSample sample = makeSample(
            Utils::Duration(static_cast<std::int64_t>(Utils::Duration(160ms).count() * factor)), 160ms);
        sample.reportedLoad = Routing::ReportedLoad { 2, 0, 4, factor };
        recordRequestSent(load, start);
        recordResponse(load, stats, sample, start);
    }
    CHECK(load.slowdownFactor == Approx(1).margin(0.01));
}

namespace {

/// Upstreams of which a fifth is slow for some time, in turn.
struct NoisyMachines {
    static constexpr std::size_t count = 20;
    static constexpr Utils::Duration changeInterval = 400ms;
    static constexpr double slowFactor = 3;

    static double factorOf(std::size_t upstream, Utils::Instant at)
    {
        const std::size_t period = static_cast<std::size_t>((at - start) / changeInterval);
        return (upstream + period * 7) % 5 == 0 ? slowFactor : 1;
    }
};

/// Mean work factor that requests meet which are sent to the upstream with the least expected latency.
/// \param hasFactor whether the upstreams report it
double meanFactorMet(bool hasFactor)
{
    constexpr unsigned requests = 4000;
    constexpr Utils::Duration workTime = 100ms;
    std::vector<UpstreamLoad> loads(NoisyMachines::count);
    ServiceStats stats;
    stats.serviceTime = workTime;
    struct InFlight {
        std::size_t upstream;
        Utils::Instant sentAt;
        double factor;
    };
    std::multimap<Utils::Instant, InFlight> inFlight;
    double sum = 0;
    for (unsigned request = 0; request < requests; ++request) {
        const Utils::Instant at = start + request * 4ms;
        while (!inFlight.empty() && inFlight.begin()->first <= at) {
            const Utils::Instant doneAt = inFlight.begin()->first;
            const InFlight done = inFlight.begin()->second;
            inFlight.erase(inFlight.begin());
            UpstreamLoad& load = loads[done.upstream];
            ResponseSample sample = makeSample(doneAt - done.sentAt, workTime);
            sample.reportedLoad = Routing::ReportedLoad { load.outstanding - 1, 0, 4 };
            if (hasFactor)
                sample.reportedLoad->workFactor = NoisyMachines::factorOf(done.upstream, doneAt);
            recordResponse(load, stats, sample, doneAt);
        }
        std::size_t best = 0;
        for (std::size_t upstream = 1; upstream < loads.size(); ++upstream) {
            if (estimateLatency(loads[upstream], stats, workTime, 4, 1, at)
                < estimateLatency(loads[best], stats, workTime, 4, 1, at))
                best = upstream;
        }
        const double factor = NoisyMachines::factorOf(best, at);
        sum += factor;
        recordRequestSent(loads[best], at);
        inFlight.emplace(at + std::chrono::duration_cast<Utils::Duration>(workTime * factor),
            InFlight { best, at, factor });
    }
    return sum / requests;
}

} // namespace

TEST_CASE("Requests avoid the fifth of the upstreams that is slow at the moment", "[loadmodel]")
{
    const double evenly = 1 + (NoisyMachines::slowFactor - 1) / 5;
    const double informed = meanFactorMet(true);
    const double uninformed = meanFactorMet(false);
    INFO("evenly " << evenly << ", uninformed " << uninformed << ", informed " << informed);
    CHECK(informed < uninformed);
    CHECK(informed < evenly);
}
