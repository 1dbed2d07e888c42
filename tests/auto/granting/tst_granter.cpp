#include <granting/granter.h>
#include <granting/grantingconstants.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Granting;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 1000s };
const Utils::UpstreamId one { "one" };
const Utils::UpstreamId two { "two" };
constexpr Routing::KeySpan lower { 0, 32767 };
constexpr Routing::KeySpan upper { 32768, 65535 };

/// A granter with both halves written, granted and settled at \c start.
Granter settledGranter()
{
    Granter granter;
    granter.assignment.service = { "s" };
    granter.assignment.term = 5;
    noteWritten(granter, nextRecord(granter, std::vector<KeyPlacement> { { lower, one }, { upper, two } }));
    for (const GrantAction& action : dueActions(granter, calmHold, start))
        noteAnswer(granter, action, GrantAnswer::Accepted, "", start);
    return granter;
}

const GrantAction* actionFor(
    const std::vector<GrantAction>& actions, GrantAction::Kind kind, const Utils::UpstreamId& upstream)
{
    const auto found = std::find_if(actions.begin(), actions.end(),
        [&](const GrantAction& action) { return action.kind == kind && action.upstream == upstream; });
    return found == actions.end() ? nullptr : &*found;
}

void moveUpper(Granter& granter)
{
    noteWritten(granter, nextRecord(granter, std::vector<KeyPlacement> { { lower, one }, { upper, one } }));
}

} // namespace

TEST_CASE("First grants go out at once and settle", "[granter]")
{
    const Granter granter = settledGranter();
    for (const Segment& segment : granter.assignment.segments)
        CHECK(segment.settled);
    CHECK(granter.changed);
}

TEST_CASE("Holds are renewed by the same call", "[granter]")
{
    Granter granter = settledGranter();
    CHECK(dueActions(granter, calmHold, start + holdRenewal - 1ms).empty());
    const std::vector<GrantAction> actions = dueActions(granter, calmHold, start + holdRenewal);
    REQUIRE(actions.size() == 2);
    CHECK(actions[0].span == lower);
    CHECK(actions[0].token == granter.assignment.segments[0].token);
}

TEST_CASE("Keys move by release, and with what the former holder gave", "[granter]")
{
    Granter granter = settledGranter();
    const std::uint64_t former = granter.assignment.segments[1].token;
    moveUpper(granter);
    const Utils::Instant at = start + holdRenewal;
    std::vector<GrantAction> actions = dueActions(granter, calmHold, at);
    const GrantAction* release = actionFor(actions, GrantAction::Kind::Release, two);
    REQUIRE(release);
    CHECK(release->span == upper);
    CHECK(release->token > former);
    const std::uint64_t releaseToken = release->token;
    noteAnswer(granter, *release, GrantAnswer::Accepted, "proof", at);
    actions = dueActions(granter, calmHold, at);
    const GrantAction* grant = actionFor(actions, GrantAction::Kind::Grant, one);
    REQUIRE(grant);
    CHECK(grant->handover == "proof");
    CHECK(grant->token > releaseToken);
}

TEST_CASE("Without a release keys move only when the hold has surely ended", "[granter]")
{
    struct Row {
        const char* name;
        Utils::Duration later;
        bool granted;
    };
    const Utils::Duration end = calmHold + calmHold / 50 + expiryMargin;
    const Row row = GENERATE_COPY(values<Row>({
        { "at once", 1s, false },
        { "the hold by a good clock", calmHold, false },
        { "just before drift and margin are over", end - 1ms, false },
        { "drift and margin are over", end, true },
    }));
    INFO(row.name);
    Granter granter = settledGranter();
    moveUpper(granter);
    for (const GrantAction& action : dueActions(granter, calmHold, start + holdRenewal))
        noteAnswer(granter, action, GrantAnswer::Unknown, "", start + holdRenewal);
    const std::vector<GrantAction> actions = dueActions(granter, calmHold, start + row.later);
    const bool granted = std::any_of(actions.begin(), actions.end(), [](const GrantAction& action) {
        return action.kind == GrantAction::Kind::Grant && action.span.last == upper.last;
    });
    CHECK(granted == row.granted);
}

TEST_CASE("A lost upstream's keys are free at once, and its next life gets a higher token", "[granter]")
{
    Granter granter = settledGranter();
    const std::uint64_t former = granter.assignment.segments[1].token;
    noteLoss(granter, two);
    CHECK_FALSE(granter.assignment.segments[1].settled);
    const std::vector<GrantAction> actions = dueActions(granter, calmHold, start + holdRenewal);
    const GrantAction* grant = actionFor(actions, GrantAction::Kind::Grant, two);
    REQUIRE(grant);
    CHECK(grant->token > former);
}

TEST_CASE("An upstream that has ended is granted nothing while its keys wait for a plan", "[granter]")
{
    // ppklj-gerbang-grown trouble-3: a renewal sent after the end was known made the keys wait for its hold.
    Granter granter = settledGranter();
    noteEnded(granter, two);
    const std::vector<GrantAction> actions = dueActions(granter, calmHold, start + holdRenewal);
    CHECK(actionFor(actions, GrantAction::Kind::Grant, two) == nullptr);
    CHECK(actionFor(actions, GrantAction::Kind::Grant, one));
    moveUpper(granter);
    const std::vector<GrantAction> moved = dueActions(granter, calmHold, start + holdRenewal + 1ms);
    REQUIRE(moved.size() == 1);
    CHECK(moved.front().kind == GrantAction::Kind::Grant);
    CHECK(moved.front().span == upper);
}

TEST_CASE("A grant whose connection was refused does not lengthen the hold", "[granter]")
{
    Granter granter = settledGranter();
    const Utils::Instant renewal = start + holdRenewal;
    for (const GrantAction& action : dueActions(granter, calmHold, renewal)) {
        if (action.upstream == two)
            noteAnswer(granter, action, GrantAnswer::ConnectionRefused, "", renewal + 1ms);
    }
    moveUpper(granter);
    const Utils::Instant end = start + calmHold + calmHold / 50 + expiryMargin;
    CHECK(actionFor(dueActions(granter, calmHold, end - 1ms), GrantAction::Kind::Release, two));
    const std::vector<GrantAction> after = dueActions(granter, calmHold, end + grantRetry);
    CHECK(actionFor(after, GrantAction::Kind::Release, two) == nullptr);
}

TEST_CASE("A new leader takes everyone in the record for a holder of the longest time", "[granter]")
{
    Granter former = settledGranter();
    const KeyAssignment record
        = nextRecord(former, std::vector<KeyPlacement> { { lower, one }, { upper, one } });
    REQUIRE(record.segments.back().formers == std::vector<Utils::UpstreamId> { two });
    Granter granter = takeOver(record, 9, 10s, start);
    std::vector<GrantAction> actions = dueActions(granter, calmHold, start);
    CHECK(actionFor(actions, GrantAction::Kind::Release, two));
    for (const GrantAction& action : actions) {
        CHECK(action.token > former.assignment.term * tokensPerTerm + former.tokensUsed);
        noteAnswer(granter, action, GrantAnswer::Unknown, "", start);
    }
    actions = dueActions(granter, calmHold, start + 10s);
    CHECK(actionFor(actions, GrantAction::Kind::Release, two));
}

TEST_CASE("A new holder gets nothing before the record that names it is written", "[granter]")
{
    Granter granter = settledGranter();
    nextRecord(granter, std::vector<KeyPlacement> { { lower, one }, { upper, one } });
    const std::vector<GrantAction> actions = dueActions(granter, calmHold, start + holdRenewal);
    CHECK(actionFor(actions, GrantAction::Kind::Release, two) == nullptr);
    CHECK(actionFor(actions, GrantAction::Kind::Grant, two));
}

TEST_CASE("A holder that does not answer is asked again without its claim growing", "[granter]")
{
    Granter granter = settledGranter();
    Utils::Instant at = start + holdRenewal;
    for (const GrantAction& action : dueActions(granter, calmHold, at))
        noteAnswer(
            granter, action, action.upstream == two ? GrantAnswer::Unknown : GrantAnswer::Accepted, "", at);
    const Utils::Instant claimed = at + grantTime + calmHold + calmHold / 50 + expiryMargin;
    for (at += grantRetry; at < start + 3s; at += grantRetry) {
        for (const GrantAction& action : dueActions(granter, calmHold, at)) {
            if (action.upstream == two)
                CHECK(at + grantTime + action.hold + action.hold / 50 + expiryMargin <= claimed + 1ms);
            noteAnswer(granter, action, action.upstream == two ? GrantAnswer::Unknown : GrantAnswer::Accepted,
                "", at);
        }
    }
    CHECK(lostUpstreams(granter, at) == std::set<Utils::UpstreamId> { two });
}

TEST_CASE("Many that are silent together are given longer than a few", "[granter]")
{
    // kuoo-brama-grown trouble-1 --vary --seed 526247903427, all VMs killed at 30 s: the link between regions
    // was full for two seconds, and the keys of 79 living upstreams went to the 79 others.
    struct Row {
        const char* name;
        unsigned silent;
        Utils::Duration since;
        std::size_t lost;
    };
    const Row row = GENERATE(values<Row>({
        { "a few, not for long", 3, silenceThatMoves - 1ms, 0 },
        { "a few", 3, silenceThatMoves, 3 },
        { "half of them", 6, silenceThatMoves, 0 },
        { "half of them, for long", 6, silenceOfManyThatMoves, 6 },
    }));
    INFO(row.name);
    Granter granter;
    for (std::uint16_t index = 0; index < 12; ++index) {
        const Utils::UpstreamId id { "u" + std::to_string(index) };
        granter.assignment.segments.push_back({ { index, index }, id, true, 1, {} });
        if (index < row.silent)
            granter.doubtful[id] = start;
    }
    CHECK(lostUpstreams(granter, start + row.since).size() == row.lost);
}

TEST_CASE("Doubts about an upstream that holds nothing are forgotten in time", "[granter]")
{
    Granter granter = settledGranter();
    granter.doubtful[two] = start;
    granter.doubtful[{ "three" }] = start;
    forgetDoubts(granter, start + doubtMemory);
    CHECK(granter.doubtful.contains(two));
    CHECK_FALSE(granter.doubtful.contains({ "three" }));
}

TEST_CASE("A refused token is replaced by a higher one", "[granter]")
{
    Granter granter = settledGranter();
    const std::uint64_t former = granter.assignment.segments[0].token;
    for (const GrantAction& action : dueActions(granter, calmHold, start + holdRenewal))
        noteAnswer(granter, action, GrantAnswer::FencedOff, "", start + holdRenewal);
    const std::vector<GrantAction> actions = dueActions(granter, calmHold, start + 2 * holdRenewal);
    REQUIRE(actions.size() == 2);
    CHECK(actions[0].token > former);
}

TEST_CASE("Each grant that settles a segment is told from a renewal", "[granter]")
{
    Granter granter;
    granter.assignment.service = { "s" };
    granter.assignment.term = 5;
    noteWritten(granter, nextRecord(granter, std::vector<KeyPlacement> { { lower, one }, { upper, two } }));
    for (const GrantAction& action : dueActions(granter, calmHold, start))
        CHECK(noteAnswer(granter, action, GrantAnswer::Accepted, "", start));
    for (const GrantAction& action : dueActions(granter, calmHold, start + holdRenewal))
        CHECK_FALSE(noteAnswer(granter, action, GrantAnswer::Accepted, "", start + holdRenewal));
}
