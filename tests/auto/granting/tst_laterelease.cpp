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
