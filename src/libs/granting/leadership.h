#pragma once

#include <granting/leaderrecord.h>
#include <utils/time.h>

#include <optional>

namespace Granting {

/// Leader election among the VMs. The leader, at most one VM at a time, grants keys. It renews its lease by
/// appends on the condition that no other VM has written since. The lease expires for the leader before it
/// expires for the other VMs.
struct Leadership {
    LeaderRecord self;
    /// Offset after the last record that was read or written; nothing before the first read.
    std::optional<Utils::Offset> logEnd;
    std::optional<LeaderRecord> lastRecord;
    /// When the last record was read.
    Utils::Instant lastRecordSeenAt {};
    /// Send time of the append in flight.
    std::optional<Utils::Instant> pendingAppendSince;
    /// Send time of an append whose outcome is unknown, until the log shows whether it took effect.
    std::optional<Utils::Instant> unknownAppendSince;
    /// Offset of the first record of this VM's own term while it leads.
    std::optional<Utils::Offset> term;
    /// End of this VM's leader lease.
    Utils::Instant leaseExpiry {};
    Utils::Instant lastAppendSentAt {};
    /// The whole system starts for the first time: no process has granted anything before.
    bool isFirstStart = false;
    /// Era of the store.
    std::uint64_t storeEra = 0;
    /// The store has returned from an older copy since this VM started.
    bool hasStoreReturned = false;
    /// End of the log when it was first read in this era.
    std::optional<Utils::Offset> firstEndInEra;
    /// The lease is not acquired before: a leader of the former era may not know yet that the store returned.
    Utils::Instant acquireNotBefore {};
    /// The VM led when the store returned, and may acquire the lease again until then unless another VM has.
    Utils::Instant reacquireUntil {};
};

/// Whether this VM may act as leader at \a now.
bool holdsLeaderLease(const Leadership& leadership, Utils::Instant now);

/// Whether an append is due: a renewal, or an attempt to acquire the lease after it has expired for the
/// previous leader. \a jitter, from 0 to 1, differs between VMs.
bool isAppendDue(const Leadership& leadership, double jitter, Utils::Instant now);

/// Whether the lease can be acquired soon, or could be a moment ago. VMs act in the order of their jitter
/// only if they look at the lease more often than the jitters differ.
bool isAcquisitionNear(const Leadership& leadership, Utils::Instant now);

/// Whether this VM does not try to acquire the lease yet. VMs that are no candidates leave it to those that
/// are.
///
/// Load pattern: the leader of a large fleet is lost, or the store fails. If all VMs tried to acquire the
/// lease as often as they can, their appends would exceed what the topic takes.
bool isAcquisitionDeferred(
    const Leadership& leadership, std::size_t vmCount, bool isCandidate, Utils::Instant now);

/// Whether a VM does not try to acquire a free lease yet, as it is not known to read all topics of the store.
/// \param isInformed it is known to. After a while any VM may, as the store may leave a topic unread for all.
bool isLeftToInformedVms(const Leadership& leadership, bool isInformed, Utils::Instant now);

/// Send time of the last append of the leader that took effect.
Utils::Instant lastRenewalSentAt(const Leadership& leadership);

/// Whether the store has left the leader's renewals without a response for longer than storeResponseTimeout.
bool isStoreUnresponsive(const Leadership& leadership, Utils::Instant now);

void recordAppendSent(Leadership& leadership, Utils::Instant now);

/// Records that the append took effect at \a offset.
void recordAppendSucceeded(Leadership& leadership, Utils::Offset offset);

/// Records that the append certainly had no effect.
void recordAppendRejected(Leadership& leadership);

/// Records that the append may have taken effect or may still do so.
void recordAppendOutcomeUnknown(Leadership& leadership);

/// Records that the log was read up to \a end. \a record is the newest record, if the log retains one.
void recordLogRead(
    Leadership& leadership, Utils::Offset end, const std::optional<LeaderRecord>& record, Utils::Instant now);

/// Whether this VM may still act as leader, or would if the store had not returned from an older copy.
bool mayLeadAgain(const Leadership& leadership, Utils::Instant now);

/// Records that the store returned from an older copy and has begun the era \a era. What was read or written
/// before may be gone, so the VM does not lead until it has acquired the lease in the new era.
void recordStoreReturn(Leadership& leadership, std::uint64_t era, Utils::Instant now);

/// Stops leading at once, as another VM has used a later term.
void stepDown(Leadership& leadership);

} // namespace Granting
