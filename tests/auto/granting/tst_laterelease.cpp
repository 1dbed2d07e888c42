#include "confirmedgranter.h"

#include <catch2/catch.hpp>

using namespace Granting;
using namespace GrantTest;
using namespace std::chrono_literals;

TEST_CASE("A late response to a release does not end the lease of a grant sent after it", "[laterelease]")
{
    // An upstream responds to a release when the running requests have ended. Meanwhile a later plan gives it
    // a part of the keys back.
    Granter granter = makeConfirmedGranter();
    Utils::Instant at = start + keyLeaseRenewalInterval;
    moveUpperKeys(granter);
    const std::vector<GrantAction> first = collectDueActions(granter, keyLeaseDuration, at);
    const GrantAction* const release = findAction(first, GrantAction::Kind::Release, two);
    REQUIRE(release);

    constexpr std::uint16_t middle = 50000;
    applyWrittenRecord(granter,
        makeNextRecord(granter,
            std::vector<KeyPlacement> {
                { lower, one }, { { upper.first, middle - 1 }, one }, { { middle, upper.last }, two } }));
    at += 100ms;
    const std::vector<GrantAction> second = collectDueActions(granter, keyLeaseDuration, at);
    const GrantAction* const grant = findAction(second, GrantAction::Kind::Grant, two);
    REQUIRE(grant);
    CHECK(grant->token > release->token);
    recordGrantOutcome(granter, *grant, GrantOutcome::Accepted, "", at);
    at += 500ms;
    recordGrantOutcome(granter, *release, GrantOutcome::Accepted, "", at);

    applyWrittenRecord(granter,
        makeNextRecord(granter,
            std::vector<KeyPlacement> {
                { lower, one }, { { upper.first, middle - 1 }, one }, { { middle, upper.last }, one } }));
    const std::vector<GrantAction> third = collectDueActions(granter, keyLeaseDuration, at + 400ms);
    for (const GrantAction& action : third)
        CHECK_FALSE((action.kind == GrantAction::Kind::Grant && action.span.last == upper.last));
    CHECK(findAction(third, GrantAction::Kind::Release, two));
}

TEST_CASE("A release does not end a hold whose grant is still in flight", "[laterelease]")
{
    // The former process has carried out the release. The upstream restarts, and the grant that was sent
    // before the release arrives at the new process, which knows no tokens.
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
    const auto isMoved = [&](Utils::Instant when) {
        bool isGranted = false;
        for (const GrantAction& action : collectDueActions(granter, keyLeaseDuration, when)) {
            isGranted = isGranted
                || (action.kind == GrantAction::Kind::Grant && action.upstream == one
                    && Routing::contains(action.span, upper.last));
            recordGrantOutcome(granter, action, GrantOutcome::Accepted, "", when);
        }
        return isGranted;
    };
    // Sends a release, which is accepted.
    CHECK_FALSE(isMoved(at + 20ms));
    CHECK_FALSE(isMoved(at + 40ms));
    recordRestart(granter, two);
    recordGrantOutcome(granter, *renewal, GrantOutcome::Accepted, "", at + 400ms);
    // The new process has to release the keys.
    CHECK_FALSE(isMoved(at + 400ms));
    CHECK(isMoved(at + 800ms));
}

TEST_CASE("The response to a release ends the leases of the grants sent before it", "[laterelease]")
{
    Granter granter = makeConfirmedGranter();
    const Utils::Instant at = start + keyLeaseRenewalInterval;
    moveUpperKeys(granter);
    const std::vector<GrantAction> actions = collectDueActions(granter, keyLeaseDuration, at);
    const GrantAction* const release = findAction(actions, GrantAction::Kind::Release, two);
    REQUIRE(release);
    recordGrantOutcome(granter, *release, GrantOutcome::Accepted, "", at + 2s);
    const std::vector<GrantAction> next = collectDueActions(granter, keyLeaseDuration, at + 2s);
    const bool isGranted = std::any_of(next.begin(), next.end(), [](const GrantAction& action) {
        return action.kind == GrantAction::Kind::Grant && action.span.last == upper.last;
    });
    CHECK(isGranted);
}
