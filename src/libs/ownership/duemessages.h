#pragma once

#include <ownership/action.h>
#include <ownership/granterstate.h>
#include <utils/time.h>

#include <vector>

/// Decides which messages a granter sends and when.
namespace Ownership::Internal {

/// Sends the grants, fences and peer messages that are due.
void sendDueMessages(GranterState& state, Utils::Instant now, std::vector<Action>& actions);

} // namespace Ownership::Internal
