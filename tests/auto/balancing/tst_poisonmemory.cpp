#include <balancing/poisonrequesttracker.h>

#include <catch2/catch.hpp>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 10000s };
constexpr std::uint64_t fingerprint = 7;

AttemptObservation attemptAt(std::uint64_t upstream, Utils::Instant sentAt, Utils::Duration duration = 100ms)
{
    static std::uint64_t lastId = 0;
    return { ++lastId, fingerprint, upstream, sentAt, sentAt + duration };
}

void recordCrashes(PoisonRequestTracker& tracker, std::size_t count, Utils::Instant at)
{
    for (std::size_t upstream = 1; upstream <= count; ++upstream)
        REQUIRE(recordCrash(tracker, attemptAt(upstream, at)));
}

/// An event of one request's content.
struct Step {
    enum class Kind { Crash, Response };
    Kind kind;
    std::uint64_t upstream;
    Utils::Duration sentAfter;
    Utils::Duration duration;
};

struct Row {
    const char* name;
    std::vector<Step> steps;
    std::size_t crashes;
    bool quarantined;
};

} // namespace

TEST_CASE("Requests are quarantined after distinct crashes without a response", "[poisonmemory]")
{
    using Kind = Step::Kind;
    const Row row = GENERATE(values<Row>({
        { "three upstreams",
            { { Kind::Crash, 1, 0s, 1s }, { Kind::Crash, 2, 2s, 1s }, { Kind::Crash, 3, 4s, 1s } }, 3, true },
        { "two upstreams", { { Kind::Crash, 1, 0s, 1s }, { Kind::Crash, 2, 2s, 1s } }, 2, false },
        { "one upstream that restarts",
            { { Kind::Crash, 1, 0s, 1s }, { Kind::Crash, 1, 2s, 1s }, { Kind::Crash, 1, 4s, 1s } }, 3, true },
        { "several attempts at one upstream when it crashes",
            { { Kind::Crash, 1, 0s, 1s }, { Kind::Crash, 1, 500ms, 500ms },
                { Kind::Crash, 1, 700ms, 310ms } },
            1, false },
        { "a response after two crashes",
            { { Kind::Crash, 1, 0s, 1s }, { Kind::Crash, 2, 2s, 1s }, { Kind::Response, 4, 2500ms, 1s },
                { Kind::Crash, 3, 4s, 1s } },
            1, false },
        { "a crash that is learned of after a later response",
            { { Kind::Crash, 1, 0s, 1s }, { Kind::Response, 4, 2s, 1s }, { Kind::Crash, 2, 500ms, 1s } }, 0,
            false },
        { "a response before the crashes",
            { { Kind::Response, 4, 0s, 1s }, { Kind::Crash, 1, 2s, 1s }, { Kind::Crash, 2, 4s, 1s },
                { Kind::Crash, 3, 6s, 1s } },
            3, true },
    }));
    INFO(row.name);
    PoisonRequestTracker tracker;
    for (const Step& step : row.steps) {
        const AttemptObservation attempt = attemptAt(step.upstream, start + step.sentAfter, step.duration);
        if (step.kind == Kind::Crash)
            recordCrash(tracker, attempt);
        else
            recordResponse(tracker, attempt);
    }
    CHECK(countCrashes(tracker, fingerprint) == row.crashes);
    CHECK(quarantineLeft(tracker, fingerprint, start + 7s, {}).has_value() == row.quarantined);
    CHECK(countQuarantined(tracker, start + 7s) == (row.quarantined ? 1 : 0));
    CHECK_FALSE(quarantineLeft(tracker, fingerprint + 1, start + 7s, {}));
}

TEST_CASE("A crash that is reported again counts once", "[poisonmemory]")
{
    PoisonRequestTracker tracker;
    AttemptObservation crash = attemptAt(1, start);
    CHECK(recordCrash(tracker, crash));
    // Ages that VMs exchange are inexact by the network latency.
    crash.sentAt += 5s;
    crash.endedAt += 5s;
    CHECK_FALSE(recordCrash(tracker, crash));
    CHECK(countCrashes(tracker, fingerprint) == 1);
}

TEST_CASE("A quarantine ends, on each VM after its own delay, and doubles with each further crash",
    "[poisonmemory]")
{
    PoisonRequestTracker tracker;
    recordCrashes(tracker, crashesToQuarantine, start);
    const Utils::Instant end = start + 100ms + minQuarantine;
    CHECK(quarantineLeft(tracker, fingerprint, end - 1ms, {}) == Utils::Duration(1ms));
    CHECK_FALSE(quarantineLeft(tracker, fingerprint, end, {}));
    CHECK(quarantineLeft(tracker, fingerprint, end, 3s) == Utils::Duration(3s));
    CHECK(recordCrash(tracker, attemptAt(9, end)));
    CHECK(quarantineLeft(tracker, fingerprint, end + 100ms, {}) == Utils::Duration(2 * minQuarantine));
    CHECK(recordResponse(tracker, attemptAt(10, end + 1s)));
    CHECK_FALSE(quarantineLeft(tracker, fingerprint, end + 2s, {}));
}

TEST_CASE("A request that crashes an upstream every few minutes is quarantined", "[poisonmemory]")
{
    PoisonRequestTracker tracker;
    for (int crash = 0; crash < 3; ++crash)
        CHECK(recordCrash(tracker, attemptAt(1, start + crash * 4min)));
    CHECK(quarantineLeft(tracker, fingerprint, start + 8min + 1s, {}));
}

TEST_CASE("The number of suspects is bounded, and those with the most crashes are kept", "[poisonmemory]")
{
    PoisonRequestTracker tracker;
    recordCrashes(tracker, crashesToQuarantine, start);
    for (std::uint64_t other = 0; other < 2 * maxSuspects; ++other)
        recordCrash(tracker, { 1000 + other, 1000 + other, 1, start + 1s, start + 2s });
    CHECK(tracker.suspects.size() <= maxSuspects);
    CHECK(quarantineLeft(tracker, fingerprint, start + 3s, {}));
    const std::vector<AttemptObservation> shared = collectCrashes(tracker, 1);
    CHECK(shared.size() == crashesToQuarantine);
    for (const AttemptObservation& crash : shared)
        CHECK(crash.fingerprint == fingerprint);
}
