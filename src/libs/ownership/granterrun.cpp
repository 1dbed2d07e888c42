#include <ownership/granterrun.h>

#include <ownership/asking.h>
#include <ownership/granterrules.h>
#include <ownership/serving.h>
#include <ownership/turning.h>
#include <ownership/waking.h>

#include <algorithm>

namespace Ownership::Internal {

namespace {

Agreement::FormerAssignment asFormer(const Agreement::PoolAssignment& assignment)
{
    return { assignment.token, assignment.dispatcher, assignment.successor, assignment.upstreams,
        assignment.shards };
}

void addUpstreams(
    GranterState& state, const std::map<Utils::UpstreamId, Utils::Incarnation>& upstreams, Utils::Instant now)
{
    for (const std::pair<const Utils::UpstreamId, Utils::Incarnation>& entry : upstreams)
        state.upstreams[entry.first].nextAskAt = now;
}

/// A granter of an earlier level that ran on this VM needs no asking.
void addPeer(GranterState& state, const Agreement::VmStart& peer, Utils::Instant now)
{
    if (peer.vm.value.empty())
        return;
    PeerView& view = state.peers[peer];
    view.nextStopAt = now;
    view.nextAttestAt = now;
    if (peer.vm != state.self.vm)
        return;
    view.stoppedAt = now;
    view.restarted = peer != state.self;
    view.grantedUntil = state.grantedUntil;
}

void forgetLapsed(GranterState& state, Utils::Instant now)
{
    std::erase_if(state.grantedUntil, [now](const std::pair<const Utils::UpstreamId, Utils::Instant>& entry) {
        return entry.second <= now;
    });
    for (std::pair<const Utils::UpstreamId, UpstreamView>& entry : state.upstreams)
        std::erase_if(entry.second.sent, [now](const SentGrant& grant) { return grant.until <= now; });
}

} // namespace

void beginGranting(GranterState& state, const GrantLevel& level, Utils::Instant now)
{
    state.role = GranterRole::Granting;
    state.level = level;
    state.highest = std::max(state.highest, level);
    state.grantingSince = now;
    state.asks.clear();
    state.upstreams.clear();
    state.peers.clear();
    state.shards.clear();
    state.earlier = state.assignment.formers;
    if (level.epoch == 2)
        state.earlier.push_back(asFormer(state.assignment));
    addUpstreams(state, state.assignment.upstreams, now);
    for (const Agreement::FormerAssignment& earlier : state.earlier) {
        addUpstreams(state, earlier.upstreams, now);
        addPeer(state, earlier.dispatcher, now);
        addPeer(state, earlier.successor, now);
    }
    for (const std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry : state.assignment.shards)
        state.shards[entry.first] = ShardView();
}

void endGranting(GranterState& state, Utils::Instant now, std::vector<Action>& actions)
{
    if (state.role != GranterRole::Granting)
        return;
    state.role = GranterRole::Stopped;
    state.asks.clear();
    updateServed(state, now, actions);
    state.wakeAt = Utils::Instant::max();
}

void noteLevel(GranterState& state, const GrantLevel& seen, Utils::Instant now, std::vector<Action>& actions)
{
    if (seen <= state.highest)
        return;
    state.highest = seen;
    if (state.role != GranterRole::Granting)
        return;
    endGranting(state, now, actions);
    actions.push_back(SteppedDown { seen });
}

void advance(GranterState& state, Utils::Instant now, std::vector<Action>& actions)
{
    forgetLapsed(state, now);
    if (state.role != GranterRole::Granting)
        return;
    turnShards(state, now);
    updateServed(state, now, actions);
    askAll(state, now, actions);
    state.wakeAt = nextDeadline(state, now);
}

std::map<Utils::UpstreamId, Utils::Duration> remainingGrants(const GranterState& state, Utils::Instant now)
{
    std::map<Utils::UpstreamId, Utils::Duration> remaining;
    for (const std::pair<const Utils::UpstreamId, Utils::Instant>& entry : state.grantedUntil) {
        if (entry.second > now)
            remaining[entry.first] = entry.second - now;
    }
    for (const std::pair<const Utils::ShardId, Utils::UpstreamId>& entry : state.served) {
        if (!checksGrants(state, entry.second))
            remaining[entry.second] = state.options.maxInFlight;
    }
    return remaining;
}

void recordStop(GranterState& state, const Agreement::VmStart& named, const Agreement::VmStart& from,
    const StopAnswer& answer, Utils::Instant now)
{
    PeerView& view = state.peers[named];
    if (view.stoppedAt.has_value())
        return;
    view.stoppedAt = now;
    view.restarted = !isStart(state, named, from);
    for (const std::pair<const Utils::UpstreamId, Utils::Duration>& entry : answer.remaining)
        view.grantedUntil[entry.first] = now + stretched(state, entry.second);
}

} // namespace Ownership::Internal
