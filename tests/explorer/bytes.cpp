#include "bytes.h"

namespace Explorer {

void put(Bytes& out, const Agreement::VmStart& start)
{
    put(out, start.vm);
    put(out, start.incarnation);
}

void put(Bytes& out, const Agreement::ShardAssignment& pair)
{
    put(out, pair.owner);
    put(out, pair.standby);
}

void put(Bytes& out, const Agreement::FormerAssignment& former)
{
    put(out, former.token);
    put(out, former.dispatcher);
    put(out, former.successor);
    put(out, former.upstreams);
    put(out, former.shards);
}

void put(Bytes& out, const Agreement::PoolAssignment& assignment)
{
    put(out, assignment.token);
    put(out, assignment.dispatcher);
    put(out, assignment.successor);
    put(out, assignment.upstreams);
    put(out, assignment.shards);
    put(out, assignment.formers);
}

void put(Bytes& out, const Ownership::GrantLevel& level)
{
    put(out, level.token);
    put(out, level.epoch);
}

void put(Bytes& out, const Ownership::SentGrant& grant)
{
    put(out, grant.sequence);
    put(out, grant.shards);
    put(out, grant.expiresAt);
    put(out, grant.latestExpiry);
}

void put(Bytes& out, const Ownership::UpstreamView& view)
{
    put(out, view.incarnation);
    put(out, view.isFenced);
    put(out, view.fencedAt);
    put(out, view.holderClock);
    put(out, view.queriedAt);
    put(out, view.respondedAt);
    put(out, view.lastAttestedQueryAt);
    put(out, view.heldShards);
    put(out, view.heldUntil);
    put(out, view.lastSentSequence);
    put(out, view.acknowledgedSequence);
    put(out, view.sentGrants);
    put(out, view.nextQueryAt);
}

void put(Bytes& out, const Ownership::PeerView& view)
{
    put(out, view.lastAttestedQueryAt);
    put(out, view.stoppedAt);
    put(out, view.wasRestarted);
    put(out, view.grantedUntil);
    put(out, view.nextStopRequestAt);
    put(out, view.nextAttestRequestAt);
}

void put(Bytes& out, const Ownership::ShardView& view)
{
    put(out, view.isOnStandby);
    put(out, view.isReleased);
    put(out, view.ownerRequestsEndedAt);
}

void put(Bytes& out, const Ownership::PendingQuery& query)
{
    put(out, query.sentAt);
    put(out, query.upstream);
    put(out, query.peer);
    put(out, query.grantSequence);
}

void put(Bytes& out, const Ownership::GranterState& state)
{
    put(out, state.self);
    put(out, state.assignment);
    put(out, state.role);
    put(out, state.level);
    put(out, state.highestKnownLevel);
    put(out, state.grantingSince);
    put(out, state.previousAssignments);
    put(out, state.upstreams);
    put(out, state.peers);
    put(out, state.shards);
    put(out, state.servedShards);
    put(out, state.grantedUntil);
    put(out, state.lastQueryId);
    put(out, state.pendingQueries);
}

void put(Bytes& out, const Ownership::HolderState& state)
{
    put(out, state.incarnation);
    put(out, state.fenceLevel);
    put(out, state.grantedLevel);
    put(out, state.sequence);
    put(out, state.heldUntil);
    put(out, state.shards);
}

void put(Bytes& out, const Ownership::HolderResponse& response)
{
    put(out, response.verdict);
    put(out, response.incarnation);
    put(out, response.clock);
    put(out, response.level);
    put(out, response.heldUntil);
    put(out, response.shards);
}

void put(Bytes& out, const Ownership::GrantRequest& request)
{
    put(out, request.level);
    put(out, request.incarnation);
    put(out, request.sequence);
    put(out, request.expiresAt);
    put(out, request.shards);
}

void put(Bytes& out, const Ownership::FenceRequest& request)
{
    put(out, request.level);
    put(out, request.incarnation);
}

void put(Bytes& out, const Ownership::AttestRequest& message)
{
    put(out, message.level);
    put(out, message.queryId);
}

void put(Bytes& out, const Ownership::AttestResponse& message)
{
    put(out, message.level);
    put(out, message.queryId);
    put(out, message.highestKnownLevel);
    put(out, message.isAttested);
}

void put(Bytes& out, const Ownership::StopRequest& message)
{
    put(out, message.level);
    put(out, message.queryId);
}

void put(Bytes& out, const Ownership::StopResponse& message)
{
    put(out, message.level);
    put(out, message.queryId);
    put(out, message.highestKnownLevel);
    put(out, message.remainingGrantTimes);
}

} // namespace Explorer
