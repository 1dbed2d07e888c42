#include <ownership/granterlifecycle.h>

#include <ownership/duemessages.h>
#include <ownership/granterrules.h>
#include <ownership/serving.h>
#include <ownership/shardfailover.h>
#include <ownership/nextdeadline.h>

#include <algorithm>

namespace Ownership::Internal {

namespace {

Agreement::FormerAssignment toPreviousAssignment(const Agreement::PoolAssignment& assignment)
{
    return { assignment.token, assignment.dispatcher, assignment.successor, assignment.upstreams,
        assignment.shards };
}

void addUpstreams(
    GranterState& state, const std::map<Utils::UpstreamId, Utils::Incarnation>& upstreams, Utils::Instant now)
{
    for (const std::pair<const Utils::UpstreamId, Utils::Incarnation>& entry : upstreams)
        state.upstreams[entry.first].nextQueryAt = now;
}

/// A granter of an earlier level that ran on this VM does not need to be queried.
void addPeer(GranterState& state, const Agreement::VmStart& peer, Utils::Instant now)
{
    if (peer.vm.value.empty())
        return;
    PeerView& view = state.peers[peer];
    view.nextStopRequestAt = now;
    view.nextAttestRequestAt = now;
    if (peer.vm != state.self.vm)
        return;
    view.stoppedAt = now;
    view.wasRestarted = peer != state.self;
    view.grantedUntil = state.grantedUntil;
}

void dropExpiredGrants(GranterState& state, Utils::Instant now)
{
    std::erase_if(state.grantedUntil, [now](const std::pair<const Utils::UpstreamId, Utils::Instant>& entry) {
        return entry.second <= now;
    });
    for (std::pair<const Utils::UpstreamId, UpstreamView>& entry : state.upstreams)
        std::erase_if(
            entry.second.sentGrants, [now](const SentGrant& grant) { return grant.latestExpiry <= now; });
}

} // namespace

void beginGranting(GranterState& state, const GrantLevel& level, Utils::Instant now)
{
    state.role = GranterRole::Granting;
    state.level = level;
    state.highestKnownLevel = std::max(state.highestKnownLevel, level);
    state.grantingSince = now;
    state.pendingQueries.clear();
    state.upstreams.clear();
    state.peers.clear();
    state.shards.clear();
    state.previousAssignments = state.assignment.formers;
    if (level.epoch == 2)
        state.previousAssignments.push_back(toPreviousAssignment(state.assignment));
    addUpstreams(state, state.assignment.upstreams, now);
    for (const Agreement::FormerAssignment& previous : state.previousAssignments) {
        addUpstreams(state, previous.upstreams, now);
        addPeer(state, previous.dispatcher, now);
        addPeer(state, previous.successor, now);
    }
    for (const std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry : state.assignment.shards)
        state.shards[entry.first] = ShardView();
}

void endGranting(GranterState& state, Utils::Instant now, std::vector<Action>& actions)
{
    if (state.role != GranterRole::Granting)
        return;
    state.role = GranterRole::Stopped;
    state.pendingQueries.clear();
    updateServedShards(state, now, actions);
    state.nextTickAt = Utils::Instant::max();
}

void recordLevel(
    GranterState& state, const GrantLevel& seen, Utils::Instant now, std::vector<Action>& actions)
{
    if (seen <= state.highestKnownLevel)
        return;
    state.highestKnownLevel = seen;
    if (state.role != GranterRole::Granting)
        return;
    endGranting(state, now, actions);
    actions.push_back(SteppedDown { seen });
}

void advance(GranterState& state, Utils::Instant now, std::vector<Action>& actions)
{
    dropExpiredGrants(state, now);
    if (state.role != GranterRole::Granting)
        return;
    failOverShards(state, now);
    updateServedShards(state, now, actions);
    sendDueMessages(state, now, actions);
    state.nextTickAt = findNextDeadline(state, now);
}

std::map<Utils::UpstreamId, Utils::Duration> computeRemainingGrantTimes(
    const GranterState& state, Utils::Instant now)
{
    std::map<Utils::UpstreamId, Utils::Duration> remaining;
    for (const std::pair<const Utils::UpstreamId, Utils::Instant>& entry : state.grantedUntil) {
        if (entry.second > now)
            remaining[entry.first] = entry.second - now;
    }
    for (const std::pair<const Utils::ShardId, Utils::UpstreamId>& entry : state.servedShards) {
        if (!checksGrants(state, entry.second))
            remaining[entry.second] = state.options.maxTimeInFlight;
    }
    return remaining;
}

void recordStop(GranterState& state, const Agreement::VmStart& named, const Agreement::VmStart& from,
    const StopResponse& response, Utils::Instant now)
{
    PeerView& view = state.peers[named];
    if (view.stoppedAt.has_value())
        return;
    view.stoppedAt = now;
    view.wasRestarted = !isNamedStart(state, named, from);
    for (const std::pair<const Utils::UpstreamId, Utils::Duration>& entry : response.remainingGrantTimes)
        view.grantedUntil[entry.first] = now + extendByClockDrift(state, entry.second);
}

} // namespace Ownership::Internal
