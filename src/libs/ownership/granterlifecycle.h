#pragma once

#include <ownership/action.h>
#include <ownership/granterstate.h>
#include <ownership/stopresponse.h>
#include <utils/time.h>

#include <vector>

/// Starts, advances and ends granting at a level.
namespace Ownership::Internal {

/// Starts granting at \a level of the current assignment.
void beginGranting(GranterState& state, const GrantLevel& level, Utils::Instant now);

/// Ends granting; the caller sets the role.
void endGranting(GranterState& state, Utils::Instant now, std::vector<Action>& actions);

/// Records a level that was seen in a message, and stops granting at a lower one.
void recordLevel(
    GranterState& state, const GrantLevel& seen, Utils::Instant now, std::vector<Action>& actions);

/// Fails shards over, sends the messages that are due and updates which shards are served.
void advance(GranterState& state, Utils::Instant now, std::vector<Action>& actions);

/// The remaining time for which grants of this incarnation can be in force, for each upstream.
std::map<Utils::UpstreamId, Utils::Duration> computeRemainingGrantTimes(
    const GranterState& state, Utils::Instant now);

/// Records that \a named, or a later incarnation \a from of the same VM, has stopped granting.
void recordStop(GranterState& state, const Agreement::VmStart& named, const Agreement::VmStart& from,
    const StopResponse& response, Utils::Instant now);

} // namespace Ownership::Internal
