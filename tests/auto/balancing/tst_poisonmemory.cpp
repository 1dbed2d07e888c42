#include <balancing/lossevidence.h>
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

TEST_CASE("A lost connection counts as a crash only if others can be reached and the upstream cannot",
    "[poisonmemory]")
{
    struct LossRow {
        const char* name;
        LossEvidence evidence;
        LossVerdict verdict;
    };
    const LossRow row = GENERATE(values<LossRow>({
        { "refused, another one accepts, refused", { std::nullopt, true }, LossVerdict::Crashed },
        { "refused, and so are others", { std::nullopt, false }, LossVerdict::Unknown },
        { "accepted at once", { Utils::Duration(20ms), false }, LossVerdict::Lives },
        { "accepted after another one", { Utils::Duration(100ms), true }, LossVerdict::Lives },
        { "accepted when it may have restarted", { minRestartTime, true }, LossVerdict::Unknown },
    }));
    INFO(row.name);
    CHECK(judgeLoss(row.evidence) == row.verdict);
}

TEST_CASE("An answer of the process that is taken for crashed withdraws the crash", "[poisonmemory]")
{
    struct Answer {
        Utils::Duration connectedAfter;
        Utils::Duration sentAfter;
    };
    struct LifeRow {
        const char* name;
        std::vector<Answer> answers;
        bool isConfirmed;
        bool withdrawn;
    };
    // The connection is lost at 100 ms.
    const LifeRow row = GENERATE(values<LifeRow>({
        { "on a connection from before", { { -5s, 200ms } }, false, true },
        { "to a request from before", { { -5s, 50ms } }, false, false },
        { "to a request sent at the loss", { { -5s, 100ms } }, false, false },
        { "on a connection opened sooner than it restarts", { { 300ms, 310ms } }, false, true },
        { "on a connection opened when it may have restarted", { { 500ms, 510ms } }, false, false },
        { "on connections that overlap", { { -5s, 90ms }, { 50ms, 900ms } }, false, true },
        { "on connections with a gap in which it may have restarted", { { -5s, 50ms }, { 800ms, 900ms } },
            false, false },
        { "on a connection from before, and the store shows a restart", { { -5s, 200ms } }, true, false },
    }));
    INFO(row.name);
    constexpr std::uint64_t upstream = 4;
    AttemptObservation crash = attemptAt(upstream, start);
    crash.isConfirmed = row.isConfirmed;
    PoisonRequestTracker learnsLater;
    REQUIRE(recordCrash(learnsLater, crash));
    REQUIRE(recordCrash(learnsLater, attemptAt(upstream + 1, start)));
    std::vector<AttemptObservation> withdrawn;
    PoisonRequestTracker knewBefore;
    for (const Answer& answer : row.answers) {
        withdrawn
            = recordLife(learnsLater, upstream, start + answer.connectedAfter, start + answer.sentAfter);
        recordLife(knewBefore, upstream, start + answer.connectedAfter, start + answer.sentAfter);
    }
    CHECK(withdrawn.size() == (row.withdrawn ? 1 : 0));
    CHECK(countCrashes(learnsLater, fingerprint) == (row.withdrawn ? 1 : 2));
    CHECK(recordCrash(knewBefore, crash) != row.withdrawn);
    CHECK(findRefutation(knewBefore, crash).has_value() == row.withdrawn);
    PoisonRequestTracker other;
    REQUIRE(recordCrash(other, crash));
    const std::size_t withdrawnByReport
        = recordReportedLife(other, upstream, learnsLater.lives.at(upstream)).size();
    CHECK(withdrawnByReport == (row.withdrawn ? 1 : 0));
    // The same crash, reported late or again.
    CHECK(recordCrash(other, crash) == false);
}

TEST_CASE("An upstream that is back before a VM notices the loss does not refute the crash", "[poisonmemory]")
{
    // The upstream crashes during the request and is back under its id 300 ms later.
    struct NoticeRow {
        const char* name;
        Utils::Duration noticedAfter;
    };
    const NoticeRow row = GENERATE(values<NoticeRow>({
        { "over a link between regions", 80ms },
        { "by a slow VM", 400ms },
        { "by a VM that was frozen", 2000ms },
    }));
    INFO(row.name);
    constexpr std::uint64_t upstream = 4;
    constexpr Utils::Duration backAfter = 30ms + minRestartTime;
    const AttemptObservation crash = attemptAt(upstream, start, row.noticedAfter);
    PoisonRequestTracker tracker;
    recordLife(tracker, upstream, start + backAfter + 1ms, start + row.noticedAfter + 500ms);
    CHECK(recordCrash(tracker, crash));
    LossEvidence evidence;
    evidence.acceptedAfter = row.noticedAfter + 320ms;
    CHECK(judgeLoss(evidence) == LossVerdict::Unknown);
}

TEST_CASE("A request that crashes the process that answered before counts again", "[poisonmemory]")
{
    PoisonRequestTracker tracker;
    recordLife(tracker, 1, start - 5s, start + 2s);
    CHECK_FALSE(recordCrash(tracker, attemptAt(1, start)));
    CHECK(recordCrash(tracker, attemptAt(1, start + 3s)));
    CHECK(recordLife(tracker, 1, start + 5s, start + 6s).empty());
    CHECK(countCrashes(tracker, fingerprint) == 1);
}

TEST_CASE("A crash that the store has shown counts although a loss was withdrawn", "[poisonmemory]")
{
    PoisonRequestTracker tracker;
    AttemptObservation crash = attemptAt(1, start);
    REQUIRE(recordCrash(tracker, crash));
    withdrawCrash(tracker, crash.fingerprint, crash.id);
    CHECK(countCrashes(tracker, fingerprint) == 0);
    crash.isConfirmed = true;
    CHECK(recordCrash(tracker, crash));
}
