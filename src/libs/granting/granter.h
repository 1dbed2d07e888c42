#pragma once

#include <granting/grantaction.h>
#include <granting/grantoutcome.h>
#include <granting/keyassignment.h>
#include <granting/keyplacement.h>
#include <granting/possibleholder.h>
#include <granting/sentaction.h>
#include <utils/time.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Granting {

/// The leader's state of the key leases of one service.
struct Granter {
    /// The assignment in force: the last record that the store acknowledged, with the grants confirmed since.
    KeyAssignment assignment;
    /// Highest version of a record that this leader may have sent to the store; 0 if there is none.
    std::uint64_t lastVersion = 0;
    /// Whether the assignment has changed since the last write began.
    bool hasUnwrittenChanges = false;
    std::vector<PossibleHolder> possibleHolders;
    /// Number of tokens used in this term.
    std::uint64_t tokensUsed = 0;
    /// The last call for each segment, by the segment's first key.
    std::map<std::uint16_t, SentAction> sentActions;
    /// Handover data that previous holders returned for segments, by the segment's first key.
    std::map<std::uint16_t, std::string> handovers;
    /// Holders that left a call without a response, and since when.
    std::map<Utils::UpstreamId, Utils::Instant> unresponsiveSince;
    /// Upstreams whose process has terminated.
    std::set<Utils::UpstreamId> terminatedUpstreams;
    /// Calls without a response are assumed until then to arrive late rather than never.
    Utils::Instant delayedCallsUntil {};
};

/// Returns the initial state of a new leader. Every upstream named in \a assignment may have been granted
/// keys for \a maxKeyLease until this moment. \param lastVersion as in Granter, of earlier writes in this
/// term.
Granter takeOver(KeyAssignment assignment, std::uint64_t term, Utils::Duration maxKeyLease,
    Utils::Instant now, std::uint64_t lastVersion = 0);

/// The time at which the last key lease that a former leader granted has expired, even if it is not known.
Utils::Instant latestFormerLeaseExpiry(Utils::Duration maxKeyLease, Utils::Instant now);

/// Returns the record to write: the segments in force, or those of \a plan. The record names every upstream
/// that may hold keys, so that the next leader knows them. The store has to acknowledge it before
/// applyWrittenRecord() is called. No two records of a term have the same version: after a return of the
/// store an earlier one, sent again since, may still take effect.
KeyAssignment makeNextRecord(Granter& granter, const std::optional<std::vector<KeyPlacement>>& plan);

/// Puts \a record, which the store has acknowledged, in force: its holders may be granted their keys from now
/// on.
void applyWrittenRecord(Granter& granter, KeyAssignment record);

/// Returns the calls that are due at \a now and records them as sent. Only the leader may call this. A
/// segment is granted to a new holder only when no other upstream may hold any of its keys.
std::vector<GrantAction> collectDueActions(Granter& granter, Utils::Duration keyLease, Utils::Instant now);

/// Records the outcome of \a action. Returns whether it confirms a segment that was unconfirmed.
bool recordGrantOutcome(Granter& granter, const GrantAction& action, GrantOutcome outcome,
    const std::string& handover, Utils::Instant now);

/// Records that the process of \a upstream has restarted. Its segments are granted again with a higher token.
/// Its holds stay: the new process may have accepted renewals before the restart became known.
void recordRestart(Granter& granter, const Utils::UpstreamId& upstream);

/// Records that the process of \a upstream has certainly terminated: it holds no keys, and gets no grants
/// until its keys have been assigned to others. Returns the holds that end with it.
std::vector<PossibleHolder> recordTermination(Granter& granter, const Utils::UpstreamId& upstream);

/// Returns the upstreams that have been unresponsive for so long that their keys should go to others.
///
/// Load pattern: all VMs restart and download their state over one link between regions, and for two seconds
/// the leader reaches no upstream of the other regions. When many upstreams are unresponsive at once, a
/// longer timeout applies than for a few.
std::set<Utils::UpstreamId> findUnresponsiveUpstreams(const Granter& granter, Utils::Instant now);

/// Lets unresponsive upstreams that hold no keys become eligible for keys again after
/// unresponsiveUpstreamRetention.
void forgetUnresponsiveUpstreams(Granter& granter, Utils::Instant now);

} // namespace Granting
