#include "confirmedgranter.h"

#include <catch2/catch.hpp>

using namespace Granting;
using namespace GrantTest;
using namespace std::chrono_literals;

TEST_CASE(
    "Keys of a restarted upstream are released by it before another one is granted them", "[restartedholder]")
{
    // The report of a restart is read later than the restart: the renewals that the new process has accepted
    // meanwhile, or that are in flight, are leases of the new process.
    struct Row {
        const char* name;
        std::vector<GrantOutcome> renewalsBeforeReport;
        std::vector<GrantOutcome> renewalsAfterReport;
        bool isReleaseSent = true;
    };
    const Row row = GENERATE(values<Row>({
        { "a renewal is still in flight", {}, {}, false },
        { "the new process has accepted a renewal", { GrantOutcome::Accepted }, {} },
        { "a renewal was left without a response", { GrantOutcome::Unknown }, {} },
        { "a renewal in flight is accepted", {}, { GrantOutcome::Accepted } },
        { "a renewal in flight is left without a response", {}, { GrantOutcome::Unknown } },
    }));
    INFO(row.name);
    Granter granter = makeConfirmedGranter();
    const Utils::Instant at = start + keyLeaseRenewalInterval;
    const std::vector<GrantAction> renewals = collectDueActions(granter, keyLeaseDuration, at);
    const GrantAction* const renewal = findAction(renewals, GrantAction::Kind::Grant, two);
    REQUIRE(renewal);
    for (const GrantOutcome outcome : row.renewalsBeforeReport)
        recordGrantOutcome(granter, *renewal, outcome, "", at);
    recordRestart(granter, two);
    for (const GrantOutcome outcome : row.renewalsAfterReport)
        recordGrantOutcome(granter, *renewal, outcome, "", at + 10ms);
    moveUpperKeys(granter);
    const std::vector<GrantAction> actions
        = collectDueActions(granter, keyLeaseDuration, at + keyLeaseRenewalInterval);
    for (const GrantAction& action : actions)
        CHECK_FALSE((action.kind == GrantAction::Kind::Grant && action.span.last == upper.last));
    CHECK((findAction(actions, GrantAction::Kind::Release, two) != nullptr) == row.isReleaseSent);
}

TEST_CASE("A new leader that reads an earlier restart does not end leases granted since", "[restartedholder]")
{
    Granter granter = takeOver(makeConfirmedGranter().assignment, 6, 10s, start);
    recordRestart(granter, two);
    moveUpperKeys(granter);
    const std::vector<GrantAction> actions = collectDueActions(granter, keyLeaseDuration, start + 1s);
    for (const GrantAction& action : actions)
        CHECK_FALSE((action.kind == GrantAction::Kind::Grant && action.span.last == upper.last));
    CHECK(findAction(actions, GrantAction::Kind::Release, two));
}
