#pragma once

#include <ownership/action.h>
#include <ownership/granterstate.h>
#include <ownership/stopresponse.h>
#include <utils/time.h>

#include <vector>

/// Beginning, running and ending a granter's work at a level.
namespace Ownership::Internal {

/// Starts granting at \a level of the current assignment.
void beginGranting(GranterState& state, const GrantLevel& level, Utils::Instant now);

/// Ends granting; the role is set by the caller.
void endGranting(GranterState& state, Utils::Instant now, std::vector<Action>& actions);

/// Takes note of a level that was heard of, and stops at a lower one.
void recordLevel(
    GranterState& state, const GrantLevel& seen, Utils::Instant now, std::vector<Action>& actions);

/// Turns shards, sends what is due and updates what is served.
void advance(GranterState& state, Utils::Instant now, std::vector<Action>& actions);

/// What this start can still have in force, for each upstream.
std::map<Utils::UpstreamId, Utils::Duration> computeRemainingGrantTimes(
    const GranterState& state, Utils::Instant now);

/// Enters that \a named, or the later start \a from of its VM, has stopped.
void recordStop(GranterState& state, const Agreement::VmStart& named, const Agreement::VmStart& from,
    const StopResponse& answer, Utils::Instant now);

} // namespace Ownership::Internal
