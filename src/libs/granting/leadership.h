#pragma once

#include <granting/leaderrecord.h>
#include <utils/time.h>

#include <optional>

namespace Granting {

/// Who may grant keys. One VM at a time: its lease is renewed by appends on the condition that nobody else
/// has written since, and lapses for itself before it lapses for the others.
struct Leadership {
    LeaderRecord self;
    /// Offset after the last record that was read or written; nothing before the first read.
    std::optional<Utils::Offset> logEnd;
    std::optional<LeaderRecord> lastRecord;
    /// When the last record was seen.
    Utils::Instant lastRecordSeenAt {};
    /// An append without an answer yet, by the time it was sent.
    std::optional<Utils::Instant> pendingAppendSince;
    /// Send time of an append whose answer was lost, until the log shows whether it took effect.
    std::optional<Utils::Instant> unknownAppendSince;
    /// Offset of the first record of this VM's own term while it leads.
    std::optional<Utils::Offset> term;
    /// This VM leads until then.
    Utils::Instant leaseExpiry {};
    Utils::Instant lastAppendSentAt {};
};

/// Whether this VM may act as leader at \a now.
bool holdsLeaderLease(const Leadership& leadership, Utils::Instant now);

/// Whether an append is due: a renewal, or a claim after the former leader's lease. \a spread 0..1 differs
/// between VMs.
bool isAppendDue(const Leadership& leadership, double spread, Utils::Instant now);

/// Whether the store has left the last append unanswered for too long.
bool isStoreUnresponsive(const Leadership& leadership, Utils::Instant now);

void recordAppendSent(Leadership& leadership, Utils::Instant now);

/// The append took effect at \a offset.
void recordAppendSucceeded(Leadership& leadership, Utils::Offset offset);

/// The append certainly had no effect.
void recordAppendRejected(Leadership& leadership);

/// It is not known whether the append took or will take effect.
void recordAppendOutcomeUnknown(Leadership& leadership);

/// The log was read up to \a end; \a record is the newest record, if one is kept.
void recordLogRead(
    Leadership& leadership, Utils::Offset end, const std::optional<LeaderRecord>& record, Utils::Instant now);

/// Another has used a later term: this VM stops at once.
void stepDown(Leadership& leadership);

} // namespace Granting
