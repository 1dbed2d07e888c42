#include <requests/outcomeatentry.h>
#include <requests/retry.h>

#include <catch2/catch.hpp>

using namespace Requests;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 100s };

Declarations::Rank rankWith(unsigned percent)
{
    Declarations::Rank rank;
    rank.id = { "urgent" };
    rank.retryBudgetPercent = percent;
    return rank;
}

struct Row {
    const char* name;
    Reason reason;
    bool idempotent;
    bool answerBegun;
    unsigned attempts;
    Utils::Duration left;
    Utils::Duration retryAfter;
    bool retry;
};

} // namespace

TEST_CASE("Only harmless attempts are retried, within deadline and attempts", "[retry]")
{
    const Row row = GENERATE(values<Row>({
        { "not run", Reason::UpstreamShedding, false, false, 1, 1s, 0ms, true },
        { "not run, idempotent", Reason::NotDispatcher, true, false, 1, 1s, 0ms, true },
        { "unknown, idempotent", Reason::UpstreamLost, true, false, 1, 1s, 0ms, true },
        { "unknown, not idempotent", Reason::UpstreamLost, false, false, 1, 1s, 0ms, false },
        { "answer begun", Reason::UpstreamLost, true, true, 1, 1s, 0ms, false },
        { "attempts used up", Reason::NoOwner, true, false, 3, 1s, 0ms, false },
        { "deadline before the backoff", Reason::NoOwner, true, false, 1, 5ms, 0ms, false },
        { "asked to come back after the deadline", Reason::NoOwner, true, false, 1, 1s, 2s, false },
        { "refused for its deadline", Reason::DeadlineTooShort, true, false, 1, 1s, 0ms, false },
        { "queue full", Reason::QueueFull, true, false, 1, 1s, 0ms, false },
        { "poison", Reason::PoisonHeld, true, false, 1, 1s, 0ms, false },
        { "bad request", Reason::BadRequest, true, false, 1, 1s, 0ms, false },
    }));
    INFO(row.name);
    RetryState state;
    const FailedAttempt failed { row.reason, row.retryAfter, row.attempts, row.idempotent, row.answerBegun,
        start + row.left, 7 };
    const RetryDecision decision = decideRetry(state, failed, {}, rankWith(10), start);
    CHECK(decision.retry == row.retry);
    if (decision.retry)
        CHECK((decision.at > start && decision.at < start + row.left));
    else
        CHECK(decision.retryAfter >= row.retryAfter);
}

TEST_CASE("A flood of failures is not multiplied", "[retry]")
{
    const unsigned percent = GENERATE(0U, 5U, 20U);
    const Declarations::Rank rank = rankWith(percent);
    RetryState state;
    unsigned sent = 0;
    const unsigned requests = 50'000;
    for (unsigned request = 0; request < requests; ++request) {
        Utils::Instant now = start + request * 1ms;
        noteFirstAttempt(state, rank.id, now);
        ++sent;
        for (unsigned attempt = 1;; ++attempt) {
            const FailedAttempt failed { Reason::UpstreamShedding, {}, attempt, true, false, now + 10s,
                request };
            const RetryDecision decision = decideRetry(state, failed, {}, rank, now);
            if (!decision.retry)
                break;
            ++sent;
        }
    }
    CHECK(sent <= requests + requests * percent / 100 + minRetriesPerWindow);
}

TEST_CASE("The budget slides: old attempts earn nothing", "[retry]")
{
    const Declarations::Rank rank = rankWith(10);
    RetryState state;
    for (int request = 0; request < 100; ++request)
        noteFirstAttempt(state, rank.id, start);
    unsigned taken = 0;
    while (takeRetry(state, rank, start))
        ++taken;
    CHECK(taken == 10);
    const Utils::Instant later = start + retryWindowSlice * static_cast<int>(retryWindowSlices);
    unsigned takenLater = 0;
    while (takeRetry(state, rank, later))
        ++takenLater;
    CHECK(takenLater == minRetriesPerWindow);
}

TEST_CASE("Backoff doubles up to its bound and differs by seed", "[retry]")
{
    const Declarations::RetryPolicy policy;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        CHECK(retryBackoff(policy, 1, seed) <= 20ms);
        CHECK(retryBackoff(policy, 1, seed) >= 10ms);
        CHECK(retryBackoff(policy, 3, seed) >= 40ms);
        CHECK(retryBackoff(policy, 20, seed) <= policy.maxBackoff);
    }
    CHECK(retryBackoff(policy, 1, 1) != retryBackoff(policy, 1, 2));
    CHECK(retryBackoff(policy, 1, 1) == retryBackoff(policy, 1, 1));
}

TEST_CASE("A refused repeat of a non-idempotent request is not called not run", "[retry]")
{
    CHECK(outcomeAtEntry(Reason::EntryOverloaded, false, 1) == Outcome::NotRun);
    CHECK(outcomeAtEntry(Reason::EntryOverloaded, false, 2) == Outcome::Unknown);
    CHECK(outcomeAtEntry(Reason::EntryOverloaded, true, 2) == Outcome::NotRun);
    CHECK(outcomeAtEntry(Reason::UpstreamLost, true, 1) == Outcome::Unknown);
}
