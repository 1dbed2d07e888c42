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
    put(out, grant.until);
}

void put(Bytes& out, const Ownership::UpstreamView& view)
{
    put(out, view.incarnation);
    put(out, view.fenced);
    put(out, view.fencedAt);
    put(out, view.clock);
    put(out, view.askedAt);
    put(out, view.answeredAt);
    put(out, view.proofAskedAt);
    put(out, view.held);
    put(out, view.heldUntil);
    put(out, view.sequence);
    put(out, view.ackedSequence);
    put(out, view.sent);
    put(out, view.nextAskAt);
}

void put(Bytes& out, const Ownership::PeerView& view)
{
    put(out, view.proofAskedAt);
    put(out, view.stoppedAt);
    put(out, view.restarted);
    put(out, view.grantedUntil);
    put(out, view.nextStopAt);
    put(out, view.nextAttestAt);
}

void put(Bytes& out, const Ownership::ShardView& view)
{
    put(out, view.turned);
    put(out, view.released);
    put(out, view.leftAt);
}

void put(Bytes& out, const Ownership::Ask& ask)
{
    put(out, ask.askedAt);
    put(out, ask.upstream);
    put(out, ask.peer);
    put(out, ask.sequence);
}

void put(Bytes& out, const Ownership::GranterState& state)
{
    put(out, state.self);
    put(out, state.assignment);
    put(out, state.role);
    put(out, state.level);
    put(out, state.highest);
    put(out, state.grantingSince);
    put(out, state.earlier);
    put(out, state.upstreams);
    put(out, state.peers);
    put(out, state.shards);
    put(out, state.served);
    put(out, state.grantedUntil);
    put(out, state.lastAsk);
    put(out, state.asks);
}

void put(Bytes& out, const Ownership::HolderState& state)
{
    put(out, state.incarnation);
    put(out, state.fence);
    put(out, state.granted);
    put(out, state.sequence);
    put(out, state.heldUntil);
    put(out, state.shards);
}

void put(Bytes& out, const Ownership::HolderAnswer& answer)
{
    put(out, answer.verdict);
    put(out, answer.incarnation);
    put(out, answer.clock);
    put(out, answer.level);
    put(out, answer.heldUntil);
    put(out, answer.shards);
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
    put(out, message.ask);
}

void put(Bytes& out, const Ownership::AttestAnswer& message)
{
    put(out, message.level);
    put(out, message.ask);
    put(out, message.highest);
    put(out, message.attested);
}

void put(Bytes& out, const Ownership::StopRequest& message)
{
    put(out, message.level);
    put(out, message.ask);
}

void put(Bytes& out, const Ownership::StopAnswer& message)
{
    put(out, message.level);
    put(out, message.ask);
    put(out, message.highest);
    put(out, message.remaining);
}

} // namespace Explorer
