#include <granting/granter.h>
#include <granting/grantingconstants.h>

#include <algorithm>

namespace Granting {

namespace Internal {

bool overlap(const Routing::KeySpan& one, const Routing::KeySpan& other)
{
    return one.first <= other.last && other.first <= one.last;
}

Routing::KeySpan intersection(const Routing::KeySpan& one, const Routing::KeySpan& other)
{
    return { std::max(one.first, other.first), std::min(one.last, other.last) };
}

/// Returns the latest time at which a key lease may expire by the clock of an upstream whose grant arrived no
/// later than \a arrival.
Utils::Instant latestLeaseExpiry(Utils::Duration keyLease, Utils::Instant arrival)
{
    return arrival + keyLease
        + Utils::Duration(static_cast<std::int64_t>(static_cast<double>(keyLease.count()) * maxClockDrift))
        + expiryMargin;
}

PossibleHolder& findOrAddPossibleHolder(
    Granter& granter, const Routing::KeySpan& span, const Utils::UpstreamId& upstream)
{
    for (PossibleHolder& holder : granter.possibleHolders) {
        if (holder.span == span && holder.grantedSpan == span && holder.upstream == upstream)
            return holder;
    }
    granter.possibleHolders.push_back({ span, span, upstream, 0, {}, {}, {} });
    return granter.possibleHolders.back();
}

Utils::Instant latestExpiry(const PossibleHolder& holder)
{
    return std::max(holder.leaseExpiry, holder.pendingLeaseExpiry);
}

/// Whether the lease of \a holder has expired, however late its grants may have arrived.
bool hasExpired(const Granter& granter, const PossibleHolder& holder, Utils::Instant now)
{
    const bool areCallsDelayed = now < granter.delayedCallsUntil;
    return holder.leaseExpiry <= now && (!areCallsDelayed || holder.delayedLeaseExpiry <= now);
}

bool isGrantInFlight(const PossibleHolder& holder) { return holder.pendingLeaseExpiry != Utils::Instant {}; }

PossibleHolder withSpan(PossibleHolder holder, std::uint16_t first, std::uint16_t last)
{
    holder.span = { first, last };
    return holder;
}

/// Records that an upstream has carried out \a release: it holds no keys of the span by grants with a lower
/// token. It may have been granted some again since, as the response waits for running requests, and a grant
/// in flight may reach a process that has started since and knows no tokens.
void removeReleasedHolds(Granter& granter, const GrantAction& release)
{
    std::vector<PossibleHolder> remaining;
    for (const PossibleHolder& holder : granter.possibleHolders) {
        const bool isReleased = holder.upstream == release.upstream && overlap(holder.span, release.span)
            && holder.token < release.token && !isGrantInFlight(holder);
        if (!isReleased) {
            remaining.push_back(holder);
            continue;
        }
        if (holder.span.first < release.span.first)
            remaining.push_back(
                withSpan(holder, holder.span.first, static_cast<std::uint16_t>(release.span.first - 1)));
        if (holder.span.last > release.span.last)
            remaining.push_back(
                withSpan(holder, static_cast<std::uint16_t>(release.span.last + 1), holder.span.last));
    }
    granter.possibleHolders = std::move(remaining);
}

/// Records that \a upstream holds no keys, and returns the holds that it had.
std::vector<PossibleHolder> removePossibleHolds(Granter& granter, const Utils::UpstreamId& upstream)
{
    const auto firstRemoved
        = std::stable_partition(granter.possibleHolders.begin(), granter.possibleHolders.end(),
            [&upstream](const PossibleHolder& holder) { return holder.upstream != upstream; });
    std::vector<PossibleHolder> removed(firstRemoved, granter.possibleHolders.end());
    granter.possibleHolders.erase(firstRemoved, granter.possibleHolders.end());
    return removed;
}

/// Returns an upstream other than the holder of \a segment that may hold keys of it, or null.
const PossibleHolder* findOtherPossibleHolder(const Granter& granter, const Segment& segment)
{
    const auto found = std::find_if(
        granter.possibleHolders.begin(), granter.possibleHolders.end(), [&](const PossibleHolder& holder) {
            return holder.upstream != segment.holder && overlap(holder.span, segment.span);
        });
    return found == granter.possibleHolders.end() ? nullptr : &*found;
}

std::uint64_t nextToken(Granter& granter)
{
    ++granter.tokensUsed;
    return granter.assignment.term * tokensPerTerm + granter.tokensUsed;
}

/// \param needsRelease another upstream may hold keys of the segment.
bool isDue(const SentAction& sent, bool needsRelease, Utils::Duration interval, Utils::Instant now)
{
    // A release that is not needed any more does not hold up the grant: its holder may hang.
    const bool isBlocked = sent.isAwaitingResponse && (sent.kind == GrantAction::Kind::Grant || needsRelease);
    return !isBlocked && now - sent.sentAt >= interval;
}

bool isLastSent(const SentAction& sent, const GrantAction& action)
{
    return sent.kind == action.kind && sent.token == action.token;
}

GrantAction makeRelease(Granter& granter, const Segment& segment, const PossibleHolder& holder)
{
    GrantAction action;
    action.kind = GrantAction::Kind::Release;
    action.service = granter.assignment.service;
    action.upstream = holder.upstream;
    action.span = intersection(holder.span, segment.span);
    action.segmentFirstKey = segment.span.first;
    // The token is higher than that of any grant in flight, so that none can take effect after the release.
    action.token = nextToken(granter);
    return action;
}

/// Returns the key lease to request. A retry to an unresponsive holder doesn't extend its lease: if the
/// holder has failed, its keys become free as early as possible.
Utils::Duration computeKeyLease(
    const Granter& granter, const Segment& segment, Utils::Duration keyLease, Utils::Instant now)
{
    if (!granter.unresponsiveSince.contains(segment.holder))
        return keyLease;
    Utils::Instant leaseExpiry {};
    for (const PossibleHolder& holder : granter.possibleHolders) {
        if (holder.upstream == segment.holder && overlap(holder.span, segment.span))
            leaseExpiry = std::max(leaseExpiry, latestExpiry(holder));
    }
    const double remainingCount
        = static_cast<double>((leaseExpiry - now - grantTimeout - expiryMargin).count())
        / (1 + maxClockDrift);
    const Utils::Duration remaining(static_cast<std::int64_t>(remainingCount));
    return remaining < minKeyLease ? std::min(keyLease, minKeyLease) : std::min(keyLease, remaining);
}

GrantAction makeGrant(Granter& granter, Segment& segment, Utils::Duration keyLease, Utils::Instant now)
{
    if (segment.token == 0)
        segment.token = nextToken(granter);
    GrantAction action;
    action.service = granter.assignment.service;
    action.upstream = segment.holder;
    action.span = segment.span;
    action.segmentFirstKey = segment.span.first;
    action.token = segment.token;
    action.keyLease = computeKeyLease(granter, segment, keyLease, now);
    const auto handover = granter.handovers.find(segment.span.first);
    if (!segment.isConfirmed && handover != granter.handovers.end())
        action.handover = handover->second;
    PossibleHolder& holder = findOrAddPossibleHolder(granter, segment.span, segment.holder);
    holder.token = std::max(holder.token, action.token);
    holder.pendingLeaseExpiry
        = std::max(holder.pendingLeaseExpiry, latestLeaseExpiry(action.keyLease, now + grantTimeout));
    return action;
}

Segment* findMutableSegment(Granter& granter, std::uint16_t key)
{
    const auto found = std::find_if(granter.assignment.segments.begin(), granter.assignment.segments.end(),
        [key](const Segment& segment) { return Routing::contains(segment.span, key); });
    return found == granter.assignment.segments.end() ? nullptr : &*found;
}

void addPreviousHolder(Segment& segment, const Utils::UpstreamId& upstream)
{
    const bool isKnown = std::find(segment.previousHolders.begin(), segment.previousHolders.end(), upstream)
        != segment.previousHolders.end();
    if (!isKnown && upstream != segment.holder && !upstream.value.empty())
        segment.previousHolders.push_back(upstream);
}

/// Collects every upstream that may hold keys of \a segment or may be granted some before the record is
/// written.
void collectPreviousHolders(const Granter& granter, Segment& segment)
{
    segment.previousHolders.clear();
    for (const PossibleHolder& holder : granter.possibleHolders) {
        if (overlap(holder.span, segment.span))
            addPreviousHolder(segment, holder.upstream);
    }
    for (const Segment& inForce : granter.assignment.segments) {
        if (overlap(inForce.span, segment.span))
            addPreviousHolder(segment, inForce.holder);
    }
}

/// Copies the state of the holder's grant from the assignment in force: the token if the segment lies within
/// one of the holder's segments there, and whether the holder is confirmed for all of its keys.
void inheritGrantState(const Granter& granter, Segment& segment)
{
    segment.token = 0;
    std::uint32_t confirmedKeys = 0;
    for (const Segment& inForce : granter.assignment.segments) {
        if (!overlap(inForce.span, segment.span) || inForce.holder != segment.holder)
            continue;
        if (inForce.isConfirmed)
            confirmedKeys += Routing::countKeys(intersection(inForce.span, segment.span));
        if (inForce.span.first <= segment.span.first && segment.span.last <= inForce.span.last)
            segment.token = inForce.token;
    }
    segment.isConfirmed = !segment.holder.value.empty() && confirmedKeys == Routing::countKeys(segment.span);
}

/// Updates the lease expiry after the outcome of a grant. The call has ended, so that the grant arrived
/// before now, but on a saturated link: a slow VM sends it and notices its timeout late. One that was not
/// sent did not arrive.
void updatePossibleHolder(
    Granter& granter, const GrantAction& action, GrantOutcome outcome, Utils::Instant now)
{
    for (PossibleHolder& holder : granter.possibleHolders) {
        if (holder.upstream != action.upstream || holder.token != action.token
            || holder.grantedSpan != action.span)
            continue;
        const Utils::Instant end = latestLeaseExpiry(action.keyLease, now);
        if (outcome == GrantOutcome::Accepted)
            holder.leaseExpiry = std::max(holder.leaseExpiry, end);
        else if (outcome != GrantOutcome::ConnectionRefused && outcome != GrantOutcome::NotSent)
            holder.leaseExpiry = std::max({ holder.leaseExpiry, holder.pendingLeaseExpiry, end });
        if (outcome == GrantOutcome::Unknown)
            holder.delayedLeaseExpiry = std::max(holder.delayedLeaseExpiry, end + maxTransitDelay);
        holder.pendingLeaseExpiry = {};
    }
}

/// Returns whether the outcome confirms the segment, which was unconfirmed before.
bool applyGrantOutcome(Granter& granter, Segment& segment, const GrantAction& action, GrantOutcome outcome)
{
    if (segment.span != action.span || segment.holder != action.upstream || segment.token != action.token)
        return false;
    // The upstream has seen a higher token of this term. The next grant gets one above it.
    if (outcome == GrantOutcome::FencedOff)
        segment.token = 0;
    if (outcome != GrantOutcome::Accepted || segment.isConfirmed)
        return false;
    segment.isConfirmed = true;
    granter.handovers.erase(segment.span.first);
    granter.hasUnwrittenChanges = true;
    return true;
}

void applyReleaseOutcome(Granter& granter, const GrantAction& action, GrantOutcome outcome,
    const std::string& handover, SentAction& sent)
{
    if (outcome != GrantOutcome::Accepted)
        return;
    removeReleasedHolds(granter, action);
    if (!handover.empty())
        granter.handovers[action.segmentFirstKey] = handover;
    // The released keys are granted without waiting for the retry interval.
    if (isLastSent(sent, action))
        sent.sentAt = {};
}

/// Returns how many holders may be unresponsive before the leader's own link is the more likely cause.
std::size_t maxUncorrelatedUnresponsive(const Granter& granter)
{
    std::set<Utils::UpstreamId> holders;
    for (const Segment& segment : granter.assignment.segments)
        holders.insert(segment.holder);
    return std::max<std::size_t>(holders.size() / correlatedFailureDivisor, 1);
}

/// Notices that calls are delayed: holders of all zones but one don't fail together.
void noticeDelayedCalls(Granter& granter, Utils::Instant now)
{
    if (granter.unresponsiveSince.size() > maxUncorrelatedUnresponsive(granter))
        granter.delayedCallsUntil = now + delayedCallsPeriod;
}

} // namespace Internal

Utils::Instant latestFormerLeaseExpiry(Utils::Duration maxKeyLease, Utils::Instant now)
{
    // The previous leader's last grants may still be in flight.
    return Internal::latestLeaseExpiry(maxKeyLease, now + grantTimeout);
}

Granter takeOver(KeyAssignment assignment, std::uint64_t term, Utils::Duration maxKeyLease,
    Utils::Instant now, std::uint64_t lastVersion)
{
    Granter granter;
    granter.lastVersion = lastVersion;
    granter.assignment = std::move(assignment);
    granter.assignment.term = term;
    const Utils::Instant leaseExpiry = latestFormerLeaseExpiry(maxKeyLease, now);
    for (Segment& segment : granter.assignment.segments) {
        segment.token = 0;
        if (!segment.holder.value.empty())
            Internal::findOrAddPossibleHolder(granter, segment.span, segment.holder).leaseExpiry
                = leaseExpiry;
        for (const Utils::UpstreamId& previousHolder : segment.previousHolders)
            Internal::findOrAddPossibleHolder(granter, segment.span, previousHolder).leaseExpiry
                = leaseExpiry;
    }
    return granter;
}

KeyAssignment makeNextRecord(Granter& granter, const std::optional<std::vector<KeyPlacement>>& plan)
{
    KeyAssignment record = granter.assignment;
    granter.lastVersion = std::max(granter.lastVersion, record.version) + 1;
    record.version = granter.lastVersion;
    if (plan) {
        record.segments.clear();
        for (const KeyPlacement& placement : *plan)
            record.segments.push_back({ placement.span, placement.holder, false, 0, {} });
    }
    for (Segment& segment : record.segments) {
        Internal::inheritGrantState(granter, segment);
        if (segment.isConfirmed)
            segment.previousHolders.clear();
        else
            Internal::collectPreviousHolders(granter, segment);
    }
    return record;
}

void applyWrittenRecord(Granter& granter, KeyAssignment record)
{
    for (Segment& segment : record.segments)
        Internal::inheritGrantState(granter, segment);
    granter.assignment = std::move(record);
}

std::vector<GrantAction> collectDueActions(Granter& granter, Utils::Duration keyLease, Utils::Instant now)
{
    // A grant in flight may be late, and its lease counts from its arrival.
    std::erase_if(granter.possibleHolders, [&granter, now](const PossibleHolder& holder) {
        return !Internal::isGrantInFlight(holder) && Internal::hasExpired(granter, holder, now);
    });
    std::vector<GrantAction> actions;
    for (Segment& segment : granter.assignment.segments) {
        SentAction& sent = granter.sentActions[segment.span.first];
        const bool needsOnlyRenewal
            = segment.isConfirmed && !granter.unresponsiveSince.contains(segment.holder);
        if (segment.holder.value.empty() || granter.terminatedUpstreams.contains(segment.holder))
            continue;
        const PossibleHolder* otherHolder
            = segment.isConfirmed ? nullptr : Internal::findOtherPossibleHolder(granter, segment);
        if (!Internal::isDue(sent, otherHolder != nullptr,
                needsOnlyRenewal ? keyLeaseRenewalInterval : grantRetryInterval, now))
            continue;
        actions.push_back(otherHolder ? Internal::makeRelease(granter, segment, *otherHolder)
                                      : Internal::makeGrant(granter, segment, keyLease, now));
        sent = { now, actions.back().kind, actions.back().token, true };
    }
    return actions;
}

bool recordGrantOutcome(Granter& granter, const GrantAction& action, GrantOutcome outcome,
    const std::string& handover, Utils::Instant now)
{
    SentAction& sent = granter.sentActions[action.segmentFirstKey];
    if (Internal::isLastSent(sent, action))
        sent.isAwaitingResponse = false;
    if (outcome == GrantOutcome::Accepted || outcome == GrantOutcome::FencedOff)
        granter.unresponsiveSince.erase(action.upstream);
    else if (granter.unresponsiveSince.try_emplace(action.upstream, now).second)
        Internal::noticeDelayedCalls(granter, now);
    if (action.kind == GrantAction::Kind::Grant)
        Internal::updatePossibleHolder(granter, action, outcome, now);
    if (action.kind == GrantAction::Kind::Release) {
        Internal::applyReleaseOutcome(granter, action, outcome, handover, sent);
        return false;
    }
    Segment* const segment = Internal::findMutableSegment(granter, action.span.first);
    return segment && Internal::applyGrantOutcome(granter, *segment, action, outcome);
}

void recordRestart(Granter& granter, const Utils::UpstreamId& upstream)
{
    granter.unresponsiveSince.erase(upstream);
    granter.terminatedUpstreams.erase(upstream);
    for (Segment& segment : granter.assignment.segments) {
        if (segment.holder != upstream)
            continue;
        segment.isConfirmed = false;
        // The restarted upstream needs a higher token.
        segment.token = 0;
        granter.hasUnwrittenChanges = true;
    }
}

std::vector<PossibleHolder> recordTermination(Granter& granter, const Utils::UpstreamId& upstream)
{
    recordRestart(granter, upstream);
    granter.terminatedUpstreams.insert(upstream);
    return Internal::removePossibleHolds(granter, upstream);
}

std::set<Utils::UpstreamId> findUnresponsiveUpstreams(const Granter& granter, Utils::Instant now)
{
    std::set<Utils::UpstreamId> unresponsive;
    for (auto it = granter.unresponsiveSince.begin(); it != granter.unresponsiveSince.end(); ++it) {
        if (now - it->second >= holderResponseTimeout)
            unresponsive.insert(it->first);
    }
    if (unresponsive.size() <= Internal::maxUncorrelatedUnresponsive(granter))
        return unresponsive;
    std::erase_if(unresponsive, [&](const Utils::UpstreamId& upstream) {
        return now - granter.unresponsiveSince.at(upstream) < correlatedHolderResponseTimeout;
    });
    return unresponsive;
}

void forgetUnresponsiveUpstreams(Granter& granter, Utils::Instant now)
{
    std::erase_if(
        granter.unresponsiveSince, [&](const std::pair<const Utils::UpstreamId, Utils::Instant>& entry) {
            const bool isHolder
                = std::any_of(granter.assignment.segments.begin(), granter.assignment.segments.end(),
                    [&](const Segment& segment) { return segment.holder == entry.first; });
            return !isHolder && now - entry.second >= unresponsiveUpstreamRetention;
        });
}

} // namespace Granting
