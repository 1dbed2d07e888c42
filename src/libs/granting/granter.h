#pragma once

#include <granting/possibleholder.h>
#include <granting/grantaction.h>
#include <granting/grantoutcome.h>
#include <granting/keyassignment.h>
#include <granting/keyplacement.h>
#include <granting/sentaction.h>
#include <utils/time.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Granting {

/// What the leader knows of the keys of one service.
struct Granter {
    /// In force: what was last acknowledged by the store, with what was settled since.
    KeyAssignment assignment;
    /// Something was settled since the last write began.
    bool hasUnwrittenChanges = false;
    std::vector<PossibleHolder> possibleHolders;
    /// Tokens used in this term.
    std::uint64_t tokensUsed = 0;
    /// The last call for each segment, by its first key.
    std::map<std::uint16_t, SentAction> sentActions;
    /// What former holders gave for segments, by first key.
    std::map<std::uint16_t, std::string> handovers;
    /// Holders that left a call unanswered, and since when.
    std::map<Utils::UpstreamId, Utils::Instant> unresponsiveSince;
    /// Upstreams that have ended.
    std::set<Utils::UpstreamId> terminatedUpstreams;
};

/// What a new leader knows: everyone named in \a assignment may have been granted keys until this moment, for
/// \a maxKeyLease.
Granter takeOver(
    KeyAssignment assignment, std::uint64_t term, Utils::Duration longestHold, Utils::Instant now);

/// The record to write: the segments in force, or those of \a plan. It names everyone who may hold keys, so
/// that the next leader knows them, and has to be acknowledged before applyWrittenRecord().
KeyAssignment makeNextRecord(const Granter& granter, const std::optional<std::vector<KeyPlacement>>& plan);

/// \a record stands in the store: its holders may be granted their keys from now on.
void applyWrittenRecord(Granter& granter, KeyAssignment record);

/// The calls that are due at \a now, noted as sent. Only the leader may ask. A segment is granted to a new
/// holder when nobody else may hold any of its keys.
std::vector<GrantAction> collectDueActions(Granter& granter, Utils::Duration hold, Utils::Instant now);

/// Takes what came of \a action; whether it is what settles the segment with its holder.
bool recordGrantOutcome(Granter& granter, const GrantAction& action, GrantOutcome answer,
    const std::string& handover, Utils::Instant now);

/// \a upstream's process has started anew: it holds nothing.
void recordRestart(Granter& granter, const Utils::UpstreamId& upstream);

/// \a upstream's process has certainly ended: it holds nothing, and is granted nothing while its keys have
/// not been placed anew.
void recordTermination(Granter& granter, const Utils::UpstreamId& upstream);

/// Upstreams that have not answered for so long that their keys should go to others.
///
/// Load pattern: all VMs start anew and fetch what they need over one link between regions, and for two
/// seconds the leader reaches no upstream of the other regions. When many are silent together they are given
/// longer than a few.
std::set<Utils::UpstreamId> findUnresponsiveUpstreams(const Granter& granter, Utils::Instant now);

/// Lets upstreams that hold nothing be tried again some time after they did not answer.
void forgetUnresponsiveUpstreams(Granter& granter, Utils::Instant now);

} // namespace Granting
