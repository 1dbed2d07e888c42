#include <granting/grantingconstants.h>
#include <granting/leadership.h>

#include <algorithm>

namespace Granting {

namespace Internal {

bool isOwn(const Leadership& leadership, const LeaderRecord& record)
{
    return record.vm == leadership.self.vm && record.incarnation == leadership.self.incarnation;
}

/// An earlier process at this address, which is gone, or a leader that resigned: its lease needs no waiting.
bool hasEnded(const Leadership& leadership, const LeaderRecord& record)
{
    return record.vm.value.empty()
        || (record.reports.address == leadership.self.reports.address && !isOwn(leadership, record));
}

Utils::Duration lengthened(Utils::Duration time)
{
    return time + Utils::Duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * clockDrift))
        + expiryMargin;
}

bool isClaimDue(const Leadership& leadership, double spread, Utils::Instant now)
{
    const Utils::Duration turn(static_cast<std::int64_t>(static_cast<double>(claimSpread.count()) * spread));
    if (leadership.last && isOwn(leadership, *leadership.last))
        return true;
    const bool free = !leadership.last || hasEnded(leadership, *leadership.last);
    return now >= leadership.lastSeenAt + (free ? Utils::Duration::zero() : lengthened(leaseTime)) + turn;
}

} // namespace Internal

bool mayLead(const Leadership& leadership, Utils::Instant now)
{
    return leadership.term && now < leadership.validUntil;
}

bool isAppendDue(const Leadership& leadership, double spread, Utils::Instant now)
{
    if (!leadership.end || leadership.pendingSince)
        return false;
    if (leadership.term)
        return now >= leadership.lastSentAt + leaseRenewal;
    return Internal::isClaimDue(leadership, spread, now);
}

bool isStoreDoubtful(const Leadership& leadership, Utils::Instant now)
{
    return leadership.term && leadership.validUntil - leaseTime + leaseRenewal + storeDoubt < now;
}

void noteAppendSent(Leadership& leadership, Utils::Instant now)
{
    leadership.pendingSince = now;
    leadership.lastSentAt = now;
}

void noteAppended(Leadership& leadership, Utils::Offset offset)
{
    if (!leadership.pendingSince)
        return;
    leadership.validUntil = *leadership.pendingSince + leaseTime;
    leadership.pendingSince.reset();
    leadership.doubtfulSince.reset();
    leadership.end = offset + 1;
    leadership.last = leadership.self;
    if (!leadership.term)
        leadership.term = offset;
}

void noteAppendRefused(Leadership& leadership) { leadership.pendingSince.reset(); }

void noteAppendUnknown(Leadership& leadership)
{
    if (!leadership.doubtfulSince)
        leadership.doubtfulSince = leadership.pendingSince;
    leadership.pendingSince.reset();
}

void noteRead(
    Leadership& leadership, Utils::Offset end, const std::optional<LeaderRecord>& record, Utils::Instant now)
{
    const bool news = !leadership.end || end > *leadership.end;
    if (!news)
        return;
    // Which of this VM's appends it is can't be told; the earliest gives the shorter lease.
    const std::optional<Utils::Instant> sentAt
        = leadership.doubtfulSince ? leadership.doubtfulSince : leadership.pendingSince;
    leadership.doubtfulSince.reset();
    leadership.end = end;
    leadership.last = record;
    leadership.lastSeenAt = now;
    if (!record || !Internal::isOwn(leadership, *record)) {
        leadership.term.reset();
        return;
    }
    if (!sentAt)
        return;
    leadership.validUntil = std::max(leadership.validUntil, *sentAt + leaseTime);
    if (!leadership.term)
        leadership.term = end - 1;
}

void stepDown(Leadership& leadership) { leadership.term.reset(); }

} // namespace Granting
