#include <ownership/attestation.h>

#include <ownership/granterrules.h>

#include <algorithm>

namespace Ownership::Internal {

namespace {

using OptionalInstant = std::optional<Utils::Instant>;

OptionalInstant findUpstreamAttestation(const GranterState& state, const Utils::UpstreamId& upstream)
{
    const std::map<Utils::UpstreamId, UpstreamView>::const_iterator view = state.upstreams.find(upstream);
    return view == state.upstreams.end() ? OptionalInstant() : view->second.lastAttestedQueryAt;
}

OptionalInstant findVmAttestation(const GranterState& state, const Agreement::VmStart& vm)
{
    const std::map<Agreement::VmStart, PeerView>::const_iterator view = state.peers.find(vm);
    return view == state.peers.end() ? OptionalInstant() : view->second.lastAttestedQueryAt;
}

bool isAttestor(const GranterState& state, const Utils::UpstreamId& upstream, const Utils::UpstreamId& holder)
{
    if (upstream.value.empty() || !checksGrants(state, upstream))
        return false;
    return upstream != holder || isWaived(state, Guard::HolderIsNoAttestor);
}

} // namespace

std::optional<Utils::Instant> attestedUntil(
    const GranterState& state, const Utils::UpstreamId& holder, const Utils::ShardId& shard)
{
    const std::map<Utils::ShardId, Agreement::ShardAssignment>::const_iterator pair
        = state.assignment.shards.find(shard);
    if (pair == state.assignment.shards.end())
        return std::nullopt;
    bool anyAttestor = false;
    OptionalInstant latest;
    const Agreement::VmStart& peer = findPeerVm(state, state.level);
    if (!peer.vm.value.empty()) {
        anyAttestor = true;
        latest = std::max(latest, findVmAttestation(state, peer));
    }
    for (const Utils::UpstreamId& upstream : { pair->second.owner, pair->second.standby }) {
        if (!isAttestor(state, upstream, holder))
            continue;
        anyAttestor = true;
        latest = std::max(latest, findUpstreamAttestation(state, upstream));
    }
    if (!anyAttestor || isWaived(state, Guard::AttestedGrant))
        return Utils::Instant::max();
    if (!latest.has_value())
        return std::nullopt;
    return *latest + state.options.leasePolicy.proofWindow;
}

bool isAttested(const GranterState& state, const Utils::UpstreamId& holder, const Utils::ShardId& shard,
    Utils::Instant now)
{
    const std::optional<Utils::Instant> until = attestedUntil(state, holder, shard);
    return until.has_value() && now <= *until;
}

bool canAttestTo(const GranterState& state, const Agreement::VmStart& from, const GrantLevel& level)
{
    if (level.token != state.assignment.token || level.epoch < 1 || level.epoch > 2)
        return false;
    const bool first = level.epoch == 1;
    const Agreement::VmStart& granter = first ? state.assignment.dispatcher : state.assignment.successor;
    if (!isNamedStart(state, granter, from) || !isNamedStart(state, findPeerVm(state, level), state.self))
        return false;
    return level >= state.highestKnownLevel || isWaived(state, Guard::HigherLevelEndsAttesting);
}

} // namespace Ownership::Internal
