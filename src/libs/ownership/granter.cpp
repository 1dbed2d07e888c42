#include <ownership/granter.h>

#include <ownership/granterrules.h>
#include <ownership/granterlifecycle.h>
#include <ownership/holderresponses.h>
#include <ownership/retirement.h>

#include <algorithm>

namespace Ownership {

namespace {

/// Drops the previous assignments that are no longer in the log.
void dropRetiredAssignments(GranterState& state, const Agreement::PoolAssignment& assignment)
{
    state.assignment.formers = assignment.formers;
    std::erase_if(state.previousAssignments, [&assignment](const Agreement::FormerAssignment& previous) {
        return previous.token != assignment.token
            && std::none_of(assignment.formers.begin(), assignment.formers.end(),
                [&previous](
                    const Agreement::FormerAssignment& former) { return former.token == previous.token; });
    });
}

void assumeRole(GranterState& state, Utils::Instant now)
{
    const GrantLevel first { state.assignment.token, 1 };
    state.role = GranterRole::NotNamed;
    if (Internal::isNamedStart(state, state.assignment.successor, state.self))
        state.role = GranterRole::Standby;
    if (!Internal::isNamedStart(state, state.assignment.dispatcher, state.self)) {
        state.highestKnownLevel = std::max(state.highestKnownLevel, first);
        return;
    }
    if (state.highestKnownLevel > first)
        state.role = GranterRole::Stopped;
    else
        Internal::beginGranting(state, first, now);
}

void releaseShards(GranterState& state, const Utils::UpstreamId& upstream)
{
    for (std::pair<const Utils::ShardId, ShardView>& entry : state.shards) {
        if (Internal::findTarget(state, entry.first) == upstream)
            entry.second.isReleased = true;
    }
}

} // namespace

std::vector<Action> installAssignment(GranterState& state, const Agreement::PoolAssignment& assignment,
    const Agreement::VmStart& self, const GranterOptions& options, Utils::Instant now)
{
    std::vector<Action> actions;
    if (assignment.token < state.assignment.token)
        return actions;
    if (assignment.token == state.assignment.token) {
        dropRetiredAssignments(state, assignment);
        Internal::advance(state, now, actions);
        return actions;
    }
    Internal::endGranting(state, now, actions);
    state.self = self;
    state.options = options;
    state.assignment = assignment;
    state.lastDispatcherContactAt = now;
    assumeRole(state, now);
    Internal::advance(state, now, actions);
    return actions;
}

std::vector<Action> takeOver(GranterState& state, Utils::Instant now)
{
    std::vector<Action> actions;
    const GrantLevel second { state.assignment.token, 2 };
    if (state.role != GranterRole::Standby || state.highestKnownLevel >= second)
        return actions;
    Internal::beginGranting(state, second, now);
    Internal::advance(state, now, actions);
    return actions;
}

std::vector<Action> onHolderResponse(GranterState& state, const Utils::UpstreamId& upstream,
    std::uint64_t queryId, const HolderResponse& response, Utils::Instant now)
{
    std::vector<Action> actions;
    const std::map<std::uint64_t, PendingQuery>::const_iterator found = state.pendingQueries.find(queryId);
    if (found == state.pendingQueries.end() || found->second.upstream != upstream)
        return actions;
    const PendingQuery query = found->second;
    state.pendingQueries.erase(found);
    if (Internal::checksGrants(state, upstream))
        Internal::recordLevel(state, response.level, now, actions);
    if (state.role != GranterRole::Granting)
        return actions;
    Internal::recordResponse(state, query, response, now);
    Internal::advance(state, now, actions);
    return actions;
}

std::vector<Action> tick(GranterState& state, Utils::Instant now)
{
    std::vector<Action> actions;
    Internal::advance(state, now, actions);
    return actions;
}

Utils::Instant nextTick(const GranterState& state) { return state.nextTickAt; }

bool arePreviousAssignmentsRetired(const GranterState& state, Utils::Instant now)
{
    if (state.role != GranterRole::Granting)
        return false;
    return std::all_of(state.previousAssignments.begin(), state.previousAssignments.end(),
        [&state, now](const Agreement::FormerAssignment& previous) {
            return previous.token == state.assignment.token
                || Internal::isAssignmentRetired(state, previous, now);
        });
}

bool isDispatcherSuspected(const GranterState& state, Utils::Instant now)
{
    return state.role == GranterRole::Standby && state.lastDispatcherContactAt.has_value()
        && now - *state.lastDispatcherContactAt >= state.options.leasePolicy.suspectAfter;
}

std::vector<Action> release(GranterState& state, const Utils::ShardId& shard, Utils::Instant now)
{
    std::vector<Action> actions;
    const std::map<Utils::ShardId, ShardView>::iterator found = state.shards.find(shard);
    if (found != state.shards.end())
        found->second.isReleased = true;
    Internal::advance(state, now, actions);
    return actions;
}

std::vector<Action> release(GranterState& state, const Utils::UpstreamId& upstream, Utils::Instant now)
{
    std::vector<Action> actions;
    releaseShards(state, upstream);
    Internal::advance(state, now, actions);
    return actions;
}

std::vector<Action> stop(GranterState& state, Utils::Instant now)
{
    std::vector<Action> actions;
    if (state.role != GranterRole::Granting && state.role != GranterRole::Standby)
        return actions;
    const bool handsOver = state.role == GranterRole::Granting && state.level.epoch == 1;
    const GrantLevel second { state.assignment.token, 2 };
    state.highestKnownLevel = std::max(state.highestKnownLevel, second);
    Internal::endGranting(state, now, actions);
    state.role = GranterRole::Stopped;
    if (handsOver && !state.assignment.successor.vm.value.empty()) {
        const StopResponse response { state.assignment.pool, second, 0, state.highestKnownLevel,
            Internal::computeRemainingGrantTimes(state, now) };
        actions.push_back(SendPeerMessage { state.assignment.successor, response });
    }
    return actions;
}

} // namespace Ownership
