#include <ownership/granter.h>

#include <ownership/granterrules.h>
#include <ownership/granterrun.h>
#include <ownership/holderanswers.h>
#include <ownership/settlement.h>

#include <algorithm>

namespace Ownership {

namespace {

/// Drops the formers that the log has dropped.
void dropSettled(GranterState& state, const Agreement::PoolAssignment& assignment)
{
    state.assignment.formers = assignment.formers;
    std::erase_if(state.earlier, [&assignment](const Agreement::FormerAssignment& earlier) {
        return earlier.token != assignment.token
            && std::none_of(assignment.formers.begin(), assignment.formers.end(),
                [&earlier](
                    const Agreement::FormerAssignment& former) { return former.token == earlier.token; });
    });
}

void takeRole(GranterState& state, Utils::Instant now)
{
    const GrantLevel first { state.assignment.token, 1 };
    state.role = GranterRole::Bystander;
    if (Internal::isStart(state, state.assignment.successor, state.self))
        state.role = GranterRole::Standby;
    if (!Internal::isStart(state, state.assignment.dispatcher, state.self)) {
        state.highest = std::max(state.highest, first);
        return;
    }
    if (state.highest > first)
        state.role = GranterRole::Stopped;
    else
        Internal::beginGranting(state, first, now);
}

void releaseShards(GranterState& state, const Utils::UpstreamId& upstream)
{
    for (std::pair<const Utils::ShardId, ShardView>& entry : state.shards) {
        if (Internal::targetOf(state, entry.first) == upstream)
            entry.second.released = true;
    }
}

} // namespace

std::vector<Action> install(GranterState& state, const Agreement::PoolAssignment& assignment,
    const Agreement::VmStart& self, const GranterOptions& options, Utils::Instant now)
{
    std::vector<Action> actions;
    if (assignment.token < state.assignment.token)
        return actions;
    if (assignment.token == state.assignment.token) {
        dropSettled(state, assignment);
        Internal::advance(state, now, actions);
        return actions;
    }
    Internal::endGranting(state, now, actions);
    state.self = self;
    state.options = options;
    state.assignment = assignment;
    state.dispatcherHeardAt = now;
    takeRole(state, now);
    Internal::advance(state, now, actions);
    return actions;
}

std::vector<Action> takeOver(GranterState& state, Utils::Instant now)
{
    std::vector<Action> actions;
    const GrantLevel second { state.assignment.token, 2 };
    if (state.role != GranterRole::Standby || state.highest >= second)
        return actions;
    Internal::beginGranting(state, second, now);
    Internal::advance(state, now, actions);
    return actions;
}

std::vector<Action> onHolderAnswer(GranterState& state, const Utils::UpstreamId& upstream,
    std::uint64_t askId, const HolderAnswer& answer, Utils::Instant now)
{
    std::vector<Action> actions;
    const std::map<std::uint64_t, Ask>::const_iterator found = state.asks.find(askId);
    if (found == state.asks.end() || found->second.upstream != upstream)
        return actions;
    const Ask ask = found->second;
    state.asks.erase(found);
    if (Internal::checksGrants(state, upstream))
        Internal::noteLevel(state, answer.level, now, actions);
    if (state.role != GranterRole::Granting)
        return actions;
    Internal::recordAnswer(state, ask, answer, now);
    Internal::advance(state, now, actions);
    return actions;
}

std::vector<Action> tick(GranterState& state, Utils::Instant now)
{
    std::vector<Action> actions;
    Internal::advance(state, now, actions);
    return actions;
}

Utils::Instant nextTick(const GranterState& state) { return state.wakeAt; }

bool settled(const GranterState& state, Utils::Instant now)
{
    if (state.role != GranterRole::Granting)
        return false;
    return std::all_of(state.earlier.begin(), state.earlier.end(),
        [&state, now](const Agreement::FormerAssignment& earlier) {
            return earlier.token == state.assignment.token
                || Internal::settledAssignment(state, earlier, now);
        });
}

bool suspectsDispatcher(const GranterState& state, Utils::Instant now)
{
    return state.role == GranterRole::Standby && state.dispatcherHeardAt.has_value()
        && now - *state.dispatcherHeardAt >= state.options.lease.suspectAfter;
}

std::vector<Action> release(GranterState& state, const Utils::ShardId& shard, Utils::Instant now)
{
    std::vector<Action> actions;
    const std::map<Utils::ShardId, ShardView>::iterator found = state.shards.find(shard);
    if (found != state.shards.end())
        found->second.released = true;
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
    state.highest = std::max(state.highest, second);
    Internal::endGranting(state, now, actions);
    state.role = GranterRole::Stopped;
    if (handsOver && !state.assignment.successor.vm.value.empty()) {
        const StopAnswer answer { state.assignment.pool, second, 0, state.highest,
            Internal::remainingGrants(state, now) };
        actions.push_back(SendPeer { state.assignment.successor, answer });
    }
    return actions;
}

} // namespace Ownership
