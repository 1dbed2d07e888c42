#include <granting/grantingconstants.h>
#include <granting/leadership.h>

#include <algorithm>

namespace Granting {

namespace Internal {

bool isOwn(const Leadership& leadership, const LeaderRecord& record)
{
    return record.vm == leadership.self.vm && record.incarnation == leadership.self.incarnation;
}

/// Whether the lease of \a record can be acquired without waiting for its expiry: the leader has resigned, or
/// it was an earlier process at this VM's address, which has terminated. A record of a former era may have
/// been followed by others that are lost.
bool isLeaseVoid(const Leadership& leadership, const LeaderRecord& record)
{
    if (record.settledEra != leadership.storeEra)
        return false;
    return record.vm.value.empty()
        || (record.loadReportEndpoint.address == leadership.self.loadReportEndpoint.address
            && !isOwn(leadership, record));
}

Utils::Duration withDriftAndMargin(Utils::Duration duration)
{
    return duration
        + Utils::Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * maxClockDrift))
        + expiryMargin;
}

/// When the lease of the last record has ended for its leader.
Utils::Instant leaseEnd(const Leadership& leadership)
{
    const bool isFree = !leadership.lastRecord || isLeaseVoid(leadership, *leadership.lastRecord);
    return leadership.lastRecordSeenAt
        + (isFree ? Utils::Duration::zero() : withDriftAndMargin(leaderLeaseDuration));
}

bool isLeaseAcquisitionDue(const Leadership& leadership, double jitter, Utils::Instant now)
{
    if (now < leadership.acquireNotBefore)
        return false;
    if (now < leadership.reacquireUntil && leadership.firstEndInEra == leadership.logEnd)
        return true;
    const Utils::Duration delay(
        static_cast<std::int64_t>(static_cast<double>(maxLeaseAcquisitionJitter.count()) * jitter));
    if (leadership.lastRecord && isOwn(leadership, *leadership.lastRecord)
        && leadership.lastRecord->settledEra == leadership.storeEra)
        return true;
    return now >= leaseEnd(leadership) + delay;
}

} // namespace Internal

bool holdsLeaderLease(const Leadership& leadership, Utils::Instant now)
{
    return leadership.term && now < leadership.leaseExpiry;
}

bool isAppendDue(const Leadership& leadership, double jitter, Utils::Instant now)
{
    if (!leadership.logEnd || leadership.pendingAppendSince)
        return false;
    if (leadership.term)
        return now >= leadership.lastAppendSentAt + leaderLeaseRenewalInterval;
    return Internal::isLeaseAcquisitionDue(leadership, jitter, now);
}

bool isAcquisitionNear(const Leadership& leadership, Utils::Instant now)
{
    const Utils::Instant end = Internal::leaseEnd(leadership);
    return !leadership.term && now >= end - acquisitionNotice
        && now < end + maxLeaseAcquisitionJitter + uninformedAcquisitionDelay;
}

bool isAcquisitionDeferred(
    const Leadership& leadership, std::size_t vmCount, bool isCandidate, Utils::Instant now)
{
    if (leadership.term)
        return false;
    const Utils::Duration interval
        = std::min(acquisitionIntervalPerVm * static_cast<std::int64_t>(vmCount), maxAcquisitionInterval);
    return now < leadership.lastAppendSentAt + interval
        || (!isCandidate && now < leadership.lastRecordSeenAt + reserveAcquisitionDelay);
}

bool isLeftToInformedVms(const Leadership& leadership, bool isInformed, Utils::Instant now)
{
    return !leadership.term && !isInformed && leadership.lastRecord
        && now < Internal::leaseEnd(leadership) + uninformedAcquisitionDelay;
}

Utils::Instant lastRenewalSentAt(const Leadership& leadership)
{
    return leadership.leaseExpiry - leaderLeaseDuration;
}

bool isStoreUnresponsive(const Leadership& leadership, Utils::Instant now)
{
    return leadership.term
        && lastRenewalSentAt(leadership) + leaderLeaseRenewalInterval + storeResponseTimeout < now;
}

void recordAppendSent(Leadership& leadership, Utils::Instant now)
{
    leadership.pendingAppendSince = now;
    leadership.lastAppendSentAt = now;
}

void recordAppendSucceeded(Leadership& leadership, Utils::Offset offset)
{
    if (!leadership.pendingAppendSince)
        return;
    leadership.leaseExpiry = *leadership.pendingAppendSince + leaderLeaseDuration;
    leadership.pendingAppendSince.reset();
    leadership.unknownAppendSince.reset();
    leadership.logEnd = offset + 1;
    leadership.lastRecord = leadership.self;
    if (!leadership.term)
        leadership.term = offset;
}

void recordAppendRejected(Leadership& leadership) { leadership.pendingAppendSince.reset(); }

void recordAppendOutcomeUnknown(Leadership& leadership)
{
    if (!leadership.unknownAppendSince)
        leadership.unknownAppendSince = leadership.pendingAppendSince;
    leadership.pendingAppendSince.reset();
}

void recordLogRead(
    Leadership& leadership, Utils::Offset end, const std::optional<LeaderRecord>& record, Utils::Instant now)
{
    const bool isNewer = !leadership.logEnd || end > *leadership.logEnd;
    if (!isNewer)
        return;
    // The record may stem from any of this VM's appends without a response. The earliest send time is
    // assumed, as it gives the shortest lease.
    const std::optional<Utils::Instant> sentAt
        = leadership.unknownAppendSince ? leadership.unknownAppendSince : leadership.pendingAppendSince;
    leadership.unknownAppendSince.reset();
    // An append of this VM that was under way when the store returned does not contest its lease.
    const bool isUncontested = !leadership.firstEndInEra
        || (leadership.firstEndInEra == leadership.logEnd && record && Internal::isOwn(leadership, *record));
    if (isUncontested)
        leadership.firstEndInEra = end;
    leadership.logEnd = end;
    leadership.lastRecord = record;
    leadership.lastRecordSeenAt = now;
    if (!record || !Internal::isOwn(leadership, *record)) {
        leadership.term.reset();
        return;
    }
    if (!sentAt)
        return;
    leadership.leaseExpiry = std::max(leadership.leaseExpiry, *sentAt + leaderLeaseDuration);
    if (!leadership.term)
        leadership.term = end - 1;
}

bool mayLeadAgain(const Leadership& leadership, Utils::Instant now)
{
    const bool isUncontested = !leadership.firstEndInEra || leadership.firstEndInEra == leadership.logEnd;
    return holdsLeaderLease(leadership, now) || (now < leadership.reacquireUntil && isUncontested);
}

void recordStoreReturn(Leadership& leadership, std::uint64_t era, Utils::Instant now)
{
    const bool isLeading = mayLeadAgain(leadership, now);
    // Other VMs wait for longer than this before they acquire the lease.
    leadership.reacquireUntil = isLeading ? now + leaderLeaseDuration : Utils::Instant {};
    leadership.acquireNotBefore = isLeading ? now : now + Internal::withDriftAndMargin(leaderLeaseDuration);
    leadership.storeEra = era;
    leadership.hasStoreReturned = true;
    leadership.term.reset();
    leadership.logEnd.reset();
    leadership.lastRecord.reset();
    leadership.firstEndInEra.reset();
    leadership.pendingAppendSince.reset();
    leadership.unknownAppendSince.reset();
}

void stepDown(Leadership& leadership) { leadership.term.reset(); }

} // namespace Granting
