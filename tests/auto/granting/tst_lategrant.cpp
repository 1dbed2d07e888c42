#include "confirmedgranter.h"

#include <catch2/catch.hpp>

using namespace Granting;
using namespace GrantTest;
using namespace std::chrono_literals;

namespace {

bool isGrantedToOther(Granter& granter, Utils::Instant at)
{
    const std::vector<GrantAction> actions = collectDueActions(granter, keyLeaseDuration, at);
    for (const GrantAction& action : actions) {
        if (action.kind == GrantAction::Kind::Release)
            recordGrantOutcome(granter, action, GrantOutcome::Unknown, "", at);
    }
    return std::any_of(actions.begin(), actions.end(), [](const GrantAction& action) {
        return action.kind == GrantAction::Kind::Grant && action.span.last == upper.last;
    });
}

} // namespace

TEST_CASE("A key lease counts from the end of the call, however late a slow VM sends it", "[lategrant]")
{
    // A VM that is short of processor time sends a grant long after the decision, and notices the timeout of
    // the call late.
    struct Row {
        const char* name;
        GrantOutcome outcome;
        Utils::Duration ended;
    };
    const Row row = GENERATE(values<Row>({
        { "accepted late", GrantOutcome::Accepted, 900ms },
        { "timed out late", GrantOutcome::Unknown, 1300ms },
        { "accepted after the lease would have expired", GrantOutcome::Accepted, 7s },
        { "accepted in time", GrantOutcome::Accepted, 20ms },
        { "timed out in time", GrantOutcome::Unknown, grantTimeout },
    }));
    INFO(row.name);
    Granter granter = makeConfirmedGranter();
    const Utils::Instant decided = start + keyLeaseRenewalInterval;
    const std::vector<GrantAction> renewals = collectDueActions(granter, keyLeaseDuration, decided);
    const GrantAction* const renewal = findAction(renewals, GrantAction::Kind::Grant, two);
    REQUIRE(renewal);
    moveUpperKeys(granter);
    const Utils::Instant ended = decided + row.ended;
    CHECK_FALSE(isGrantedToOther(granter, ended - 1ms));
    recordGrantOutcome(granter, *renewal, row.outcome, "", ended);
    const Utils::Duration lease = keyLeaseDuration + keyLeaseDuration / 50 + expiryMargin;
    CHECK_FALSE(isGrantedToOther(granter, ended + lease - 1ms));
    CHECK(isGrantedToOther(granter, ended + lease + grantRetryInterval));
}

TEST_CASE("A hold that a release has split ends when its upstream does not respond any more", "[lategrant]")
{
    const Utils::Duration movedAfter = GENERATE(Utils::Duration(100ms), keyLeaseRenewalInterval);
    Granter granter = makeConfirmedGranter();
    Utils::Instant at = start + movedAfter;
    constexpr std::uint16_t middle = 50000;
    applyWrittenRecord(granter,
        makeNextRecord(granter,
            std::vector<KeyPlacement> {
                { lower, one }, { { upper.first, middle - 1 }, two }, { { middle, upper.last }, one } }));
    // The upstream releases a part and renews the rest for some seconds. Then it is gone.
    const auto tick = [&](Utils::Duration step, GrantOutcome outcomeOfTwo) {
        at += step;
        bool isUpperGranted = false;
        for (const GrantAction& action : collectDueActions(granter, keyLeaseDuration, at)) {
            const bool isToOne = action.upstream == one;
            isUpperGranted = isUpperGranted || (isToOne && Routing::contains(action.span, upper.first));
            recordGrantOutcome(
                granter, action, isToOne ? GrantOutcome::Accepted : outcomeOfTwo, "", at + 10ms);
        }
        return isUpperGranted;
    };
    for (int renewal = 0; renewal < 60; ++renewal)
        tick(100ms, GrantOutcome::Accepted);
    moveUpperKeys(granter);
    const Utils::Instant gone = at;
    while (at - gone < 10s && !tick(100ms, GrantOutcome::Unknown)) { }
    CHECK(at - gone < keyLeaseDuration + 1s);
}

TEST_CASE("A hold that a release has split ends with the grant that was in flight", "[lategrant]")
{
    Granter granter = makeConfirmedGranter();
    const Utils::Instant at = start + keyLeaseRenewalInterval;
    const std::vector<GrantAction> renewals = collectDueActions(granter, keyLeaseDuration, at);
    const GrantAction* const renewal = findAction(renewals, GrantAction::Kind::Grant, two);
    REQUIRE(renewal);
    constexpr std::uint16_t middle = 50000;
    applyWrittenRecord(granter,
        makeNextRecord(granter,
            std::vector<KeyPlacement> {
                { lower, one }, { { upper.first, middle - 1 }, two }, { { middle, upper.last }, one } }));
    const std::vector<GrantAction> actions = collectDueActions(granter, keyLeaseDuration, at + 10ms);
    const GrantAction* const release = findAction(actions, GrantAction::Kind::Release, two);
    REQUIRE(release);
    recordGrantOutcome(granter, *release, GrantOutcome::Accepted, "", at + 20ms);
    recordGrantOutcome(granter, *renewal, GrantOutcome::ConnectionRefused, "", at + 30ms);
    const bool isInFlight = std::any_of(
        granter.possibleHolders.begin(), granter.possibleHolders.end(), [](const PossibleHolder& holder) {
            return holder.upstream == two && holder.pendingLeaseExpiry != Utils::Instant {};
        });
    CHECK_FALSE(isInFlight);
}

TEST_CASE("Grants that were given up may still arrive while many holders leave calls without a response",
    "[lategrant]")
{
    // Guards against two holders of a key: a link between regions was saturated, grants arrived seconds after
    // the leader had given them up, and it granted their keys to others when their leases should have
    // expired.
    struct Row {
        const char* name;
        std::size_t unresponsive;
        GrantOutcome outcome;
        bool isLeaseExtended;
        Utils::Duration transit;
    };
    const Row row = GENERATE(values<Row>({
        { "one of eight gives no response", 1, GrantOutcome::Unknown, true, 0ms },
        { "half of them give no response", 4, GrantOutcome::Unknown, true, maxTransitDelay },
        { "no connection to one of eight", 1, GrantOutcome::NotSent, false, 0ms },
        { "no connection to half of them", 4, GrantOutcome::NotSent, false, 0ms },
    }));
    INFO(row.name);
    constexpr std::size_t holderCount = 8;
    constexpr std::size_t keysOfHolder = 65536 / holderCount;
    std::vector<KeyPlacement> placements;
    for (std::size_t index = 0; index < holderCount; ++index)
        placements.push_back({ { static_cast<std::uint16_t>(index * keysOfHolder),
                                   static_cast<std::uint16_t>((index + 1) * keysOfHolder - 1) },
            { "u" + std::to_string(index) } });
    Granter granter;
    granter.assignment.service = { "s" };
    granter.assignment.term = 5;
    applyWrittenRecord(granter, makeNextRecord(granter, placements));
    for (const GrantAction& action : collectDueActions(granter, keyLeaseDuration, start))
        recordGrantOutcome(granter, action, GrantOutcome::Accepted, "", start);
    const Utils::Instant renewed = start + keyLeaseRenewalInterval;
    const Utils::Instant ended = renewed + grantTimeout;
    for (const GrantAction& action : collectDueActions(granter, keyLeaseDuration, renewed)) {
        const bool isUnresponsive = action.span.first < row.unresponsive * keysOfHolder;
        recordGrantOutcome(granter, action, isUnresponsive ? row.outcome : GrantOutcome::Accepted, "", ended);
    }
    // The keys of the first holder move to the last one.
    placements.front().holder = placements.back().holder;
    applyWrittenRecord(granter, makeNextRecord(granter, placements));
    const auto isGranted = [&granter](Utils::Instant at) {
        bool granted = false;
        for (const GrantAction& action : collectDueActions(granter, keyLeaseDuration, at)) {
            const bool isFirst = action.span.first == 0;
            granted = granted || (isFirst && action.kind == GrantAction::Kind::Grant);
            recordGrantOutcome(
                granter, action, isFirst ? GrantOutcome::Unknown : GrantOutcome::Accepted, "", at);
        }
        return granted;
    };
    const Utils::Duration lease = keyLeaseDuration + keyLeaseDuration / 50 + expiryMargin;
    const Utils::Instant expiry = (row.isLeaseExtended ? ended : start) + lease + row.transit;
    CHECK_FALSE(isGranted(expiry - 1ms));
    CHECK(isGranted(expiry + grantRetryInterval));
}
