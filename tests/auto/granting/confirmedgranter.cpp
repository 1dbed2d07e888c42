#include "confirmedgranter.h"

namespace GrantTest {

using namespace Granting;

Granter makeConfirmedGranter()
{
    Granter granter;
    granter.assignment.service = { "s" };
    granter.assignment.term = 5;
    applyWrittenRecord(
        granter, makeNextRecord(granter, std::vector<KeyPlacement> { { lower, one }, { upper, two } }));
    for (const GrantAction& action : collectDueActions(granter, keyLeaseDuration, start))
        recordGrantOutcome(granter, action, GrantOutcome::Accepted, "", start);
    return granter;
}

const GrantAction* findAction(
    const std::vector<GrantAction>& actions, GrantAction::Kind kind, const Utils::UpstreamId& upstream)
{
    const auto found = std::find_if(actions.begin(), actions.end(),
        [&](const GrantAction& action) { return action.kind == kind && action.upstream == upstream; });
    return found == actions.end() ? nullptr : &*found;
}

void moveUpperKeys(Granter& granter)
{
    applyWrittenRecord(
        granter, makeNextRecord(granter, std::vector<KeyPlacement> { { lower, one }, { upper, one } }));
}

} // namespace GrantTest
