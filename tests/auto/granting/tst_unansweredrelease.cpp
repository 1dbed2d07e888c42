#include "confirmedgranter.h"

#include <catch2/catch.hpp>

using namespace Granting;
using namespace GrantTest;
using namespace std::chrono_literals;

TEST_CASE("Keys are granted when the last other lease has expired though a release has no response yet",
    "[unansweredrelease]")
{
    // A holder that accepts connections but hangs leaves each release without a response for 3 s.
    constexpr Utils::Duration releaseTimeout = 3s;
    Granter granter = makeConfirmedGranter();
    moveUpperKeys(granter);
    Utils::Instant at = start;
    std::vector<std::pair<Utils::Instant, GrantAction>> releases;
    bool isGranted = false;
    while (!isGranted && at < start + 20s) {
        at += 100ms;
        if (!releases.empty() && at >= releases.front().first) {
            recordGrantOutcome(granter, releases.front().second, GrantOutcome::Unknown, "", at);
            releases.erase(releases.begin());
        }
        for (const GrantAction& action : collectDueActions(granter, keyLeaseDuration, at)) {
            if (action.kind == GrantAction::Kind::Release) {
                releases.emplace_back(at + releaseTimeout, action);
                continue;
            }
            isGranted = isGranted || Routing::contains(action.span, upper.first);
            recordGrantOutcome(granter, action, GrantOutcome::Accepted, "", at);
        }
    }
    CHECK(at - start <= keyLeaseDuration + keyLeaseDuration / 50 + expiryMargin + grantRetryInterval);
}

TEST_CASE(
    "Keys that a plan gives back are granted while their release has no response", "[unansweredrelease]")
{
    Granter granter = makeConfirmedGranter();
    moveUpperKeys(granter);
    const Utils::Instant at = start + keyLeaseRenewalInterval;
    const std::vector<GrantAction> first = collectDueActions(granter, keyLeaseDuration, at);
    const GrantAction* const release = findAction(first, GrantAction::Kind::Release, two);
    REQUIRE(release);
    applyWrittenRecord(
        granter, makeNextRecord(granter, std::vector<KeyPlacement> { { lower, one }, { upper, two } }));
    const std::vector<GrantAction> second
        = collectDueActions(granter, keyLeaseDuration, at + grantRetryInterval);
    const GrantAction* const grant = findAction(second, GrantAction::Kind::Grant, two);
    REQUIRE(grant);
    CHECK(grant->token > release->token);
    // The late response to the release does not let a second grant start beside the one in flight.
    recordGrantOutcome(granter, *release, GrantOutcome::Accepted, "", at + 400ms);
    CHECK(findAction(collectDueActions(granter, keyLeaseDuration, at + 800ms), GrantAction::Kind::Grant, two)
        == nullptr);
    recordGrantOutcome(granter, *grant, GrantOutcome::Accepted, "", at + 900ms);
    CHECK(findSegment(granter.assignment, upper.first)->isConfirmed);
}
