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

/// Decides which upstream holds which shards. The functions are pure: they map a state and an event to
/// actions. The invariant that they keep is described in docs/design/leases.md.
namespace Ownership {

/// Applies an assignment that was read from the log. Called on every VM that the assignment or a previous one
/// names, for every newer assignment of the pool and again when previous assignments were retired. An older
/// assignment has no effect. Options that come with an already installed token are ignored.
std::vector<Action> installAssignment(GranterState& state, const Agreement::PoolAssignment& assignment,
    const Agreement::VmStart& self, const GranterOptions& options, Utils::Instant now);

/// Makes the successor, which suspects the dispatcher, take over the pool. Has no effect on any other VM.
std::vector<Action> takeOver(GranterState& state, Utils::Instant now);

/// Handles the response of an upstream to the query \a queryId. Responses to unknown queries and repeated
/// responses are ignored.
std::vector<Action> onHolderResponse(GranterState& state, const Utils::UpstreamId& upstream,
    std::uint64_t queryId, const HolderResponse& response, Utils::Instant now);

/// Handles a message from another VM; \a from is the incarnation that sent it.
std::vector<Action> onPeerMessage(
    GranterState& state, const Agreement::VmStart& from, const PeerMessage& message, Utils::Instant now);

/// Handles the passage of time: renews leases, retries queries and fails shards over.
std::vector<Action> tick(GranterState& state, Utils::Instant now);

/// The time at which tick() is due next.
Utils::Instant nextTick(const GranterState& state);

/// The upstream to which a request for \a shard may be sent now. Must be called immediately before the
/// request is written.
std::optional<ServingUpstream> findServingUpstream(
    const GranterState& state, const Utils::ShardId& shard, Utils::Instant now);

/// Whether no grant of a previous assignment can be in force any more, so that the log may drop these
/// assignments.
bool arePreviousAssignmentsRetired(const GranterState& state, Utils::Instant now);

/// Whether this VM is the successor and the dispatcher has not contacted it for the suspicion timeout.
bool isDispatcherSuspected(const GranterState& state, Utils::Instant now);

/// Revokes \a shard from its upstream before a planned move; a later assignment grants it again.
std::vector<Action> release(GranterState& state, const Utils::ShardId& shard, Utils::Instant now);

/// Revokes all shards from \a upstream before it leaves the pool.
std::vector<Action> release(GranterState& state, const Utils::UpstreamId& upstream, Utils::Instant now);

/// Permanently stops granting and attesting on the current assignment. A dispatcher hands over to its
/// successor.
std::vector<Action> stop(GranterState& state, Utils::Instant now);

} // namespace Ownership
