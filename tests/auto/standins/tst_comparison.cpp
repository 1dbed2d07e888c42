#include <standins/journal/compare.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace {

using Journal::AnswerState;
using Journal::CallerEvent;
using Journal::CallerRow;
using Journal::FindingKind;
using Journal::UpstreamEvent;
using Journal::UpstreamRow;
using Requests::Outcome;

constexpr std::int64_t millisecond = 1'000;

CallerRow callerRow(CallerEvent event, unsigned attempt, Outcome outcome, AnswerState answer)
{
    CallerRow row;
    row.event = event;
    row.at = 1'000 * millisecond;
    row.request = "r";
    row.attempt = attempt;
    row.idempotencyKey = "r";
    row.outcome = outcome;
    row.answer = answer;
    return row;
}

CallerRow offered() { return callerRow(CallerEvent::Offered, 0, Outcome::Unknown, AnswerState::None); }

CallerRow attempt(unsigned number, Outcome outcome, AnswerState answer = AnswerState::None)
{
    return callerRow(CallerEvent::Attempt, number, outcome, answer);
}

CallerRow last(unsigned attempts, Outcome outcome, AnswerState answer = AnswerState::None)
{
    return callerRow(CallerEvent::Final, attempts, outcome, answer);
}

UpstreamRow work(const std::string& upstream, UpstreamEvent event, unsigned attempt, std::int64_t at)
{
    UpstreamRow row;
    row.at = at * millisecond;
    row.event = event;
    row.upstream = upstream;
    row.incarnation = 1;
    row.request = "r";
    row.requestId = upstream + std::to_string(attempt);
    row.attempt = attempt;
    row.idempotencyKey = "r";
    row.shard = Utils::ShardId { "stock/0" };
    return row;
}

UpstreamRow started(const std::string& upstream, unsigned attempt = 1, std::int64_t at = 10)
{
    return work(upstream, UpstreamEvent::RequestStarted, attempt, at);
}

UpstreamRow ended(const std::string& upstream, unsigned attempt = 1, std::int64_t at = 20)
{
    return work(upstream, UpstreamEvent::RequestEnded, attempt, at);
}

UpstreamRow cancelled(const std::string& upstream, unsigned attempt = 1)
{
    return work(upstream, UpstreamEvent::RequestCancelled, attempt, 15);
}

struct RequestCase {
    std::string name;
    std::vector<CallerRow> callers;
    std::vector<UpstreamRow> upstreams;
    std::vector<FindingKind> findings;
};

const std::vector<RequestCase> requestCases {
    { "done and run once",
        { offered(), attempt(1, Outcome::Done, AnswerState::Whole),
            last(1, Outcome::Done, AnswerState::Whole) },
        { started("a"), ended("a") }, {} },
    { "told done, never run", { offered(), last(1, Outcome::Done, AnswerState::Whole) }, {},
        { FindingKind::Lost } },
    { "told done, never ended", { offered(), last(1, Outcome::Done, AnswerState::Whole) }, { started("a") },
        { FindingKind::Lost } },
    { "told done, run only withdrawn", { offered(), last(1, Outcome::Done, AnswerState::Whole) },
        { started("a"), cancelled("a") }, { FindingKind::Lost } },
    { "no final answer", { offered() }, {}, { FindingKind::Lost } },
    { "run twice under one key", { offered(), last(2, Outcome::Done, AnswerState::Whole) },
        { started("a"), ended("a"), started("b", 2, 30), ended("b", 2, 40) }, { FindingKind::Doubled } },
    { "run twice on one upstream", { offered(), last(2, Outcome::Done, AnswerState::Whole) },
        { started("a"), ended("a"), started("a", 2, 30), ended("a", 2, 40) }, { FindingKind::Doubled } },
    { "crashed and run again", { offered(), last(2, Outcome::Done, AnswerState::Whole) },
        { started("a"), started("b", 2, 30), ended("b", 2, 40) }, { FindingKind::Doubled } },
    { "withdrawn and run again", { offered(), last(2, Outcome::Done, AnswerState::Whole) },
        { started("a"), cancelled("a"), started("b", 2, 30), ended("b", 2, 40) }, {} },
    { "told done, answer cut", { offered(), last(1, Outcome::Done, AnswerState::Cut) },
        { started("a"), ended("a") }, { FindingKind::Cut } },
    { "told done, answer of another", { offered(), last(1, Outcome::Done, AnswerState::Foreign) },
        { started("a"), ended("a") }, { FindingKind::Cut } },
    { "broke off and never made whole",
        { offered(), attempt(1, Outcome::Unknown, AnswerState::Broken),
            last(1, Outcome::Unknown, AnswerState::Broken) },
        { started("a"), ended("a") }, { FindingKind::Cut } },
    { "broke off and made whole",
        { offered(), attempt(1, Outcome::Unknown, AnswerState::Broken),
            last(2, Outcome::Done, AnswerState::Whole) },
        { started("a"), ended("a") }, {} },
    { "told not run, but ran", { offered(), last(1, Outcome::NotRun) }, { started("a"), ended("a") },
        { FindingKind::NotRunButRan } },
    { "told not run, but crashed it", { offered(), last(1, Outcome::NotRun) }, { started("a") },
        { FindingKind::NotRunButRan } },
    { "first sending told not run, but ran",
        { offered(), attempt(1, Outcome::NotRun), attempt(2, Outcome::Unknown), last(2, Outcome::Unknown) },
        { started("a", 1) }, { FindingKind::NotRunButRan } },
    { "told unknown, then not run",
        { offered(), attempt(1, Outcome::Unknown), attempt(2, Outcome::NotRun), last(2, Outcome::Unknown) },
        { started("a", 1), ended("a", 1) }, {} },
    { "told not run, and withdrawn", { offered(), last(1, Outcome::NotRun) },
        { started("a"), cancelled("a") }, {} },
    { "told unknown and never run", { offered(), last(1, Outcome::Unknown) }, {}, {} },
};

std::vector<FindingKind> kindsOf(const Journal::Comparison& comparison)
{
    std::vector<FindingKind> kinds;
    for (const Journal::Finding& finding : comparison.findings)
        kinds.push_back(finding.kind);
    return kinds;
}

UpstreamRow grant(const std::string& upstream, std::int64_t at, std::int64_t until, bool withShard = true)
{
    UpstreamRow row;
    row.event = UpstreamEvent::GrantAccepted;
    row.upstream = upstream;
    row.at = at * millisecond;
    row.until = until * millisecond;
    if (withShard)
        row.shards = { Utils::ShardId { "stock/0" } };
    return row;
}

UpstreamRow process(const std::string& upstream, UpstreamEvent event, std::int64_t at)
{
    UpstreamRow row;
    row.event = event;
    row.upstream = upstream;
    row.at = at * millisecond;
    return row;
}

struct OwnershipCase {
    std::string name;
    std::vector<UpstreamRow> upstreams;
    std::uint64_t overlaps;
    /// End of calls is at 1000 ms.
    std::int64_t orphanedMilliseconds;
    std::uint64_t moves;
};

const std::vector<OwnershipCase> ownershipCases {
    { "one owner, renewed", { grant("a", 0, 600), grant("a", 150, 1000) }, 0, 0, 0 },
    { "moved after the lease", { grant("a", 0, 600), grant("b", 650, 1000) }, 0, 50, 1 },
    { "moved within the lease", { grant("a", 0, 600), grant("b", 590, 1000) }, 1, 0, 1 },
    { "moved after a grant without the shard",
        { grant("a", 0, 600), grant("a", 300, 900, false), grant("b", 310, 1000) }, 0, 10, 1 },
    { "moved within a lease cut short by a renewal",
        { grant("a", 0, 900), grant("a", 100, 500), grant("b", 510, 1000) }, 0, 10, 1 },
    { "moved after a stop",
        { grant("a", 0, 600), process("a", UpstreamEvent::Stopped, 200), grant("b", 210, 1000) }, 0, 10, 1 },
    { "moved after a new start",
        { grant("a", 0, 600), process("a", UpstreamEvent::Started, 200), grant("b", 205, 1000) }, 0, 5, 1 },
    { "moved while a frozen owner holds", { grant("b", 300, 1000), grant("a", 0, 600) }, 1, 0, 1 },
    { "lapsed and taken up again", { grant("a", 0, 300), grant("a", 700, 1000) }, 0, 400, 0 },
    { "lapsed for good", { grant("a", 0, 300) }, 0, 700, 0 },
    { "less than the stamps can tell", { grant("a", 0, 600), grant("b", 599, 1000) }, 0, 0, 1 },
    { "runs on one shard at two unfenced upstreams",
        { started("a", 1, 10), ended("a", 1, 40), started("b", 2, 30), ended("b", 2, 50) }, 1, 0, 0 },
    { "runs on one shard, one after the other",
        { started("a", 1, 10), ended("a", 1, 30), started("b", 2, 40), ended("b", 2, 50) }, 0, 0, 0 },
};

} // namespace

TEST_CASE("each broken promise about a request is found", "[comparison]")
{
    const RequestCase row = GENERATE(from_range(requestCases));
    INFO(row.name);
    const Journal::Comparison comparison = Journal::compare({ row.callers, row.upstreams });
    REQUIRE(kindsOf(comparison) == row.findings);
    REQUIRE(Journal::isClean(comparison) == row.findings.empty());
    REQUIRE(comparison.requests == 1);
}

TEST_CASE("owners, moves and orphaned time follow from the grants", "[comparison]")
{
    const OwnershipCase row = GENERATE(from_range(ownershipCases));
    INFO(row.name);
    std::vector<CallerRow> callers { offered(), last(1, Outcome::NotRun) };
    callers[0].request = callers[1].request = "other";
    const Journal::Comparison comparison = Journal::compare({ callers, row.upstreams });
    REQUIRE(Journal::countOf(comparison, FindingKind::Overlap) == row.overlaps);
    REQUIRE(comparison.orphanedMax == row.orphanedMilliseconds * millisecond);
    REQUIRE(comparison.moves == row.moves);
}

TEST_CASE("rows survive the way through JSON", "[comparison]")
{
    CallerRow caller = attempt(2, Outcome::NotRun, AnswerState::Broken);
    caller.reason = "queue_full";
    caller.status = 503;
    caller.late = 7;
    caller.latency = 8;
    REQUIRE(Journal::callerRowFrom(Journal::toJson(caller)) == caller);
    UpstreamRow upstream = started("a");
    upstream.level = { 5, 2 };
    upstream.method = "POST";
    REQUIRE(Journal::upstreamRowFrom(Journal::toJson(upstream)) == upstream);
    REQUIRE(Journal::upstreamRowFrom(Journal::toJson(grant("a", 1, 2))) == grant("a", 1, 2));
}
