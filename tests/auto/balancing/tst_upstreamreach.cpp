#include <balancing/upstreamreach.h>

#include <catch2/catch.hpp>

#include <string>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 1000s };

/// Lets attempts at the upstreams 1 to \a count fail.
void failUpstreams(UpstreamReach& reach, unsigned count, Utils::Instant at)
{
    for (unsigned upstream = 1; upstream <= count; ++upstream)
        recordLinkFailure(reach, { std::to_string(upstream) }, at, at);
}

UpstreamReach makeLostReach()
{
    UpstreamReach reach;
    failUpstreams(reach, 3, start);
    const std::size_t probes = startProbes(reach, start);
    for (std::size_t probe = 0; probe < probes; ++probe)
        recordProbeFailed(reach, start, start + probeTimeout);
    return reach;
}

} // namespace

TEST_CASE("Failures of several upstreams without a success raise a suspicion", "[upstreamreach]")
{
    struct Row {
        const char* name;
        unsigned failing;
        Utils::Duration connectedAfter;
        Utils::Duration lastFailureAfter;
        ReachState expected;
    };
    const Row row = GENERATE(values<Row>({
        { "one upstream has crashed", 1, -1s, 0ms, ReachState::Reaching },
        { "two upstreams have crashed", 2, -1s, 0ms, ReachState::Reaching },
        { "three fail and none is reached", 3, -1s, 0ms, ReachState::Suspected },
        { "another one was reached after the attempts began", 3, 1ms, 0ms, ReachState::Reaching },
        { "the first failures are old", 2, -1s, failureRetention + 1ms, ReachState::Reaching },
    }));
    INFO(row.name);
    UpstreamReach reach;
    recordConnected(reach, start + row.connectedAfter);
    failUpstreams(reach, row.failing, start);
    recordLinkFailure(reach, { "1" }, start + row.lastFailureAfter, start + row.lastFailureAfter);
    CHECK(reach.state == row.expected);
    CHECK((startProbes(reach, start + row.lastFailureAfter) > 0) == (row.expected == ReachState::Suspected));
}

TEST_CASE("Repeated failures of the same upstreams do not lose the reach", "[upstreamreach]")
{
    UpstreamReach reach;
    for (int repeat = 0; repeat < 20; ++repeat)
        failUpstreams(reach, 2, start + repeat * 50ms);
    CHECK(reach.state == ReachState::Reaching);
}

TEST_CASE("The reach is lost when all probes fail, and a connection restores it", "[upstreamreach]")
{
    struct Row {
        const char* name;
        std::size_t failingProbes;
        bool connects;
        ReachState expected;
    };
    const Row row = GENERATE(values<Row>({
        { "all probes fail", probesToConfirm, false, ReachState::Lost },
        { "one probe connects", probesToConfirm - 1, true, ReachState::Reaching },
        { "a probe has no outcome yet", probesToConfirm - 1, false, ReachState::Suspected },
        { "a connection after the reach was lost", probesToConfirm, true, ReachState::Reaching },
    }));
    INFO(row.name);
    UpstreamReach reach;
    failUpstreams(reach, 3, start);
    CHECK(startProbes(reach, start) == probesToConfirm);
    for (std::size_t probe = 0; probe < row.failingProbes; ++probe) {
        const bool isLast = probe + 1 == probesToConfirm;
        CHECK(recordProbeFailed(reach, start, start + probeTimeout) == isLast);
    }
    if (row.connects)
        CHECK(recordConnected(reach, start + probeTimeout) == (row.failingProbes == probesToConfirm));
    CHECK(reach.state == row.expected);
}

TEST_CASE("Probes are limited", "[upstreamreach]")
{
    UpstreamReach lost = makeLostReach();
    REQUIRE(lost.state == ReachState::Lost);
    std::size_t probes = 0;
    for (Utils::Instant at = start + probeTimeout; at < start + probeTimeout + 10s; at += 10ms)
        probes += startProbes(lost, at);
    CHECK(probes <= 40);

    // A few upstreams stay down while others are reached.
    UpstreamReach partial;
    probes = 0;
    for (Utils::Instant at = start; at < start + 10s; at += 100ms) {
        failUpstreams(partial, 3, at);
        if (const std::size_t started = startProbes(partial, at)) {
            probes += started;
            recordConnected(partial, at + 5ms);
        }
    }
    CHECK(probes <= 10 * probesToConfirm);
    CHECK(partial.state != ReachState::Lost);
}
