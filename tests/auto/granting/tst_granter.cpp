#include "confirmedgranter.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Granting;
using namespace GrantTest;
using namespace std::chrono_literals;

TEST_CASE("First grants are sent at once and confirm their segments", "[granter]")
{
    const Granter granter = makeConfirmedGranter();
    for (const Segment& segment : granter.assignment.segments)
        CHECK(segment.isConfirmed);
    CHECK(granter.hasUnwrittenChanges);
}

TEST_CASE("Key leases are renewed by a repeated grant with the same token", "[granter]")
{
    Granter granter = makeConfirmedGranter();
    CHECK(collectDueActions(granter, keyLeaseDuration, start + keyLeaseRenewalInterval - 1ms).empty());
    const std::vector<GrantAction> actions
        = collectDueActions(granter, keyLeaseDuration, start + keyLeaseRenewalInterval);
    REQUIRE(actions.size() == 2);
    CHECK(actions[0].span == lower);
    CHECK(actions[0].token == granter.assignment.segments[0].token);
}

TEST_CASE(
    "Keys move by a release, and the grant carries the handover data of the previous holder", "[granter]")
{
    Granter granter = makeConfirmedGranter();
    const std::uint64_t previousToken = granter.assignment.segments[1].token;
    moveUpperKeys(granter);
    const Utils::Instant at = start + keyLeaseRenewalInterval;
    std::vector<GrantAction> actions = collectDueActions(granter, keyLeaseDuration, at);
    const GrantAction* release = findAction(actions, GrantAction::Kind::Release, two);
    REQUIRE(release);
    CHECK(release->span == upper);
    CHECK(release->token > previousToken);
    const std::uint64_t releaseToken = release->token;
    recordGrantOutcome(granter, *release, GrantOutcome::Accepted, "proof", at);
    actions = collectDueActions(granter, keyLeaseDuration, at);
    const GrantAction* grant = findAction(actions, GrantAction::Kind::Grant, one);
    REQUIRE(grant);
    CHECK(grant->handover == "proof");
    CHECK(grant->token > releaseToken);
}

TEST_CASE("Without a release keys move only after the key lease has certainly expired", "[granter]")
{
    struct Row {
        const char* name;
        Utils::Duration later;
        bool granted;
    };
    const Utils::Duration end = keyLeaseDuration + keyLeaseDuration / 50 + expiryMargin;
    const Row row = GENERATE_COPY(values<Row>({
        { "at once", 1s, false },
        { "the hold by a good clock", keyLeaseDuration, false },
        { "just before drift and margin are over", end - 1ms, false },
        { "drift and margin are over", end, true },
    }));
    INFO(row.name);
    Granter granter = makeConfirmedGranter();
    moveUpperKeys(granter);
    for (const GrantAction& action :
        collectDueActions(granter, keyLeaseDuration, start + keyLeaseRenewalInterval))
        recordGrantOutcome(granter, action, GrantOutcome::Unknown, "", start + keyLeaseRenewalInterval);
    const std::vector<GrantAction> actions = collectDueActions(granter, keyLeaseDuration, start + row.later);
    const bool granted = std::any_of(actions.begin(), actions.end(), [](const GrantAction& action) {
        return action.kind == GrantAction::Kind::Grant && action.span.last == upper.last;
    });
    CHECK(granted == row.granted);
}

TEST_CASE("The next grant of a restarted upstream gets a higher token and needs no release", "[granter]")
{
    Granter granter = makeConfirmedGranter();
    const std::uint64_t previousToken = granter.assignment.segments[1].token;
    recordRestart(granter, two);
    CHECK_FALSE(granter.assignment.segments[1].isConfirmed);
    const std::vector<GrantAction> actions
        = collectDueActions(granter, keyLeaseDuration, start + keyLeaseRenewalInterval);
    const GrantAction* grant = findAction(actions, GrantAction::Kind::Grant, two);
    REQUIRE(grant);
    CHECK(grant->token > previousToken);
}

TEST_CASE("A terminated upstream gets no grants before its keys are placed anew", "[granter]")
{
    // A renewal sent after the termination was known would delay the move of the keys until its lease
    // expires.
    Granter granter = makeConfirmedGranter();
    recordTermination(granter, two);
    const std::vector<GrantAction> actions
        = collectDueActions(granter, keyLeaseDuration, start + keyLeaseRenewalInterval);
    CHECK(findAction(actions, GrantAction::Kind::Grant, two) == nullptr);
    CHECK(findAction(actions, GrantAction::Kind::Grant, one));
    moveUpperKeys(granter);
    const std::vector<GrantAction> moved
        = collectDueActions(granter, keyLeaseDuration, start + keyLeaseRenewalInterval + 1ms);
    REQUIRE(moved.size() == 1);
    CHECK(moved.front().kind == GrantAction::Kind::Grant);
    CHECK(moved.front().span == upper);
}

TEST_CASE("A grant whose connection was refused does not extend the key lease", "[granter]")
{
    Granter granter = makeConfirmedGranter();
    const Utils::Instant renewal = start + keyLeaseRenewalInterval;
    for (const GrantAction& action : collectDueActions(granter, keyLeaseDuration, renewal)) {
        if (action.upstream == two)
            recordGrantOutcome(granter, action, GrantOutcome::ConnectionRefused, "", renewal + 1ms);
    }
    moveUpperKeys(granter);
    const Utils::Instant end = start + keyLeaseDuration + keyLeaseDuration / 50 + expiryMargin;
    CHECK(
        findAction(collectDueActions(granter, keyLeaseDuration, end - 1ms), GrantAction::Kind::Release, two));
    const std::vector<GrantAction> after
        = collectDueActions(granter, keyLeaseDuration, end + grantRetryInterval);
    CHECK(findAction(after, GrantAction::Kind::Release, two) == nullptr);
}

TEST_CASE("A new leader considers every upstream in the record a possible holder for the maximum key lease",
    "[granter]")
{
    Granter previousGranter = makeConfirmedGranter();
    const KeyAssignment record
        = makeNextRecord(previousGranter, std::vector<KeyPlacement> { { lower, one }, { upper, one } });
    REQUIRE(record.segments.back().previousHolders == std::vector<Utils::UpstreamId> { two });
    Granter granter = takeOver(record, 9, 10s, start);
    std::vector<GrantAction> actions = collectDueActions(granter, keyLeaseDuration, start);
    CHECK(findAction(actions, GrantAction::Kind::Release, two));
    for (const GrantAction& action : actions) {
        CHECK(action.token > previousGranter.assignment.term * tokensPerTerm + previousGranter.tokensUsed);
        recordGrantOutcome(granter, action, GrantOutcome::Unknown, "", start);
    }
    actions = collectDueActions(granter, keyLeaseDuration, start + 10s);
    CHECK(findAction(actions, GrantAction::Kind::Release, two));
}

TEST_CASE("A new holder gets no grant before the record that names it is written", "[granter]")
{
    Granter granter = makeConfirmedGranter();
    makeNextRecord(granter, std::vector<KeyPlacement> { { lower, one }, { upper, one } });
    const std::vector<GrantAction> actions
        = collectDueActions(granter, keyLeaseDuration, start + keyLeaseRenewalInterval);
    CHECK(findAction(actions, GrantAction::Kind::Release, two) == nullptr);
    CHECK(findAction(actions, GrantAction::Kind::Grant, two));
}

TEST_CASE("Retries to an unresponsive holder do not extend its key lease", "[granter]")
{
    Granter granter = makeConfirmedGranter();
    Utils::Instant at = start + keyLeaseRenewalInterval;
    for (const GrantAction& action : collectDueActions(granter, keyLeaseDuration, at))
        recordGrantOutcome(
            granter, action, action.upstream == two ? GrantOutcome::Unknown : GrantOutcome::Accepted, "", at);
    const Utils::Instant latestExpiry
        = at + grantTimeout + keyLeaseDuration + keyLeaseDuration / 50 + expiryMargin;
    for (at += grantRetryInterval; at < start + 3s; at += grantRetryInterval) {
        for (const GrantAction& action : collectDueActions(granter, keyLeaseDuration, at)) {
            if (action.upstream == two)
                CHECK(at + grantTimeout + action.keyLease + action.keyLease / 50 + expiryMargin
                    <= latestExpiry + 1ms);
            recordGrantOutcome(granter, action,
                action.upstream == two ? GrantOutcome::Unknown : GrantOutcome::Accepted, "", at);
        }
    }
    CHECK(findUnresponsiveUpstreams(granter, at) == std::set<Utils::UpstreamId> { two });
}

TEST_CASE("Many holders that are unresponsive at once get a longer timeout than a few", "[granter]")
{
    // When all VMs were killed at once, the link between regions was saturated for two seconds, and the keys
    // of 79 running upstreams went to the 79 others.
    struct Row {
        const char* name;
        unsigned silent;
        Utils::Duration since;
        std::size_t lost;
    };
    const Row row = GENERATE(values<Row>({
        { "a few, not for long", 3, holderResponseTimeout - 1ms, 0 },
        { "a few", 3, holderResponseTimeout, 3 },
        { "half of them", 6, holderResponseTimeout, 0 },
        { "half of them, for long", 6, correlatedHolderResponseTimeout, 6 },
    }));
    INFO(row.name);
    Granter granter;
    for (std::uint16_t index = 0; index < 12; ++index) {
        const Utils::UpstreamId id { "u" + std::to_string(index) };
        granter.assignment.segments.push_back({ { index, index }, id, true, 1, {} });
        if (index < row.silent)
            granter.unresponsiveSince[id] = start;
    }
    CHECK(findUnresponsiveUpstreams(granter, start + row.since).size() == row.lost);
}

TEST_CASE(
    "An unresponsive upstream without keys becomes eligible again after the retention time", "[granter]")
{
    Granter granter = makeConfirmedGranter();
    granter.unresponsiveSince[two] = start;
    granter.unresponsiveSince[{ "three" }] = start;
    forgetUnresponsiveUpstreams(granter, start + unresponsiveUpstreamRetention);
    CHECK(granter.unresponsiveSince.contains(two));
    CHECK_FALSE(granter.unresponsiveSince.contains({ "three" }));
}

TEST_CASE("A rejected token is replaced by a higher one", "[granter]")
{
    Granter granter = makeConfirmedGranter();
    const std::uint64_t previousToken = granter.assignment.segments[0].token;
    for (const GrantAction& action :
        collectDueActions(granter, keyLeaseDuration, start + keyLeaseRenewalInterval))
        recordGrantOutcome(granter, action, GrantOutcome::FencedOff, "", start + keyLeaseRenewalInterval);
    const std::vector<GrantAction> actions
        = collectDueActions(granter, keyLeaseDuration, start + 2 * keyLeaseRenewalInterval);
    REQUIRE(actions.size() == 2);
    CHECK(actions[0].token > previousToken);
}

TEST_CASE("A grant that confirms a segment is distinguished from a renewal", "[granter]")
{
    Granter granter;
    granter.assignment.service = { "s" };
    granter.assignment.term = 5;
    applyWrittenRecord(
        granter, makeNextRecord(granter, std::vector<KeyPlacement> { { lower, one }, { upper, two } }));
    for (const GrantAction& action : collectDueActions(granter, keyLeaseDuration, start))
        CHECK(recordGrantOutcome(granter, action, GrantOutcome::Accepted, "", start));
    for (const GrantAction& action :
        collectDueActions(granter, keyLeaseDuration, start + keyLeaseRenewalInterval))
        CHECK_FALSE(
            recordGrantOutcome(granter, action, GrantOutcome::Accepted, "", start + keyLeaseRenewalInterval));
}
