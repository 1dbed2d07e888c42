#pragma once

#include <agreement/poolassignment.h>
#include <agreement/vmstart.h>
#include <ownership/action.h>
#include <ownership/granteroptions.h>
#include <ownership/granterstate.h>
#include <ownership/holderresponse.h>
#include <ownership/peermessage.h>
#include <ownership/servingupstream.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>
#include <optional>
#include <vector>

/// Decides which upstream holds which shards. Pure: state and event in, actions out. The rule that it keeps
/// is in docs/design/leases.md.
namespace Ownership {

/// Takes an assignment read from the log. Called for every newer one of the pool, and again when formers were
/// settled, on every VM that the assignment or an earlier one names. An older assignment changes nothing.
/// Options that come with a token already installed are ignored.
std::vector<Action> installAssignment(GranterState& state, const Agreement::PoolAssignment& assignment,
    const Agreement::VmStart& self, const GranterOptions& options, Utils::Instant now);

/// The successor suspects the dispatcher and takes the pool over. Nothing happens on any other VM.
std::vector<Action> takeOver(GranterState& state, Utils::Instant now);

/// An upstream answered the ask \a queryId. Answers to asks that are unknown or answered already are ignored.
std::vector<Action> onHolderResponse(GranterState& state, const Utils::UpstreamId& upstream,
    std::uint64_t askId, const HolderResponse& answer, Utils::Instant now);

/// A message from another VM; \a from is the start that sent it.
std::vector<Action> onPeerMessage(
    GranterState& state, const Agreement::VmStart& from, const PeerMessage& message, Utils::Instant now);

/// Time has passed: renews, asks again, turns shards.
std::vector<Action> tick(GranterState& state, Utils::Instant now);

/// When tick() is due next.
Utils::Instant nextTick(const GranterState& state);

/// Where a request for \a shard may be sent now. To be asked immediately before the write.
std::optional<ServingUpstream> findServingUpstream(
    const GranterState& state, const Utils::ShardId& shard, Utils::Instant now);

/// Whether all former assignments have come to their end, so that the log may drop them.
bool arePreviousAssignmentsRetired(const GranterState& state, Utils::Instant now);

/// Whether this VM is the successor and has not heard the dispatcher for the suspicion time.
bool isDispatcherSuspected(const GranterState& state, Utils::Instant now);

/// Takes \a shard from its upstream ahead of a planned move; it is granted again by a later assignment.
std::vector<Action> release(GranterState& state, const Utils::ShardId& shard, Utils::Instant now);

/// Takes every shard from \a upstream ahead of its leaving.
std::vector<Action> release(GranterState& state, const Utils::UpstreamId& upstream, Utils::Instant now);

/// Stops granting and attesting on the current assignment for good. A dispatcher hands over to its successor.
std::vector<Action> stop(GranterState& state, Utils::Instant now);

} // namespace Ownership
