#include <granting/granter.h>
#include <granting/grantingconstants.h>

#include <algorithm>

namespace Granting {

namespace Internal {

bool overlap(const Routing::KeySpan& one, const Routing::KeySpan& other)
{
    return one.first <= other.last && other.first <= one.last;
}

Routing::KeySpan common(const Routing::KeySpan& one, const Routing::KeySpan& other)
{
    return { std::max(one.first, other.first), std::min(one.last, other.last) };
}

/// Time until which a hold may last at the upstream whose grant arrived no later than \a arrival.
Utils::Instant endOfHold(Utils::Duration hold, Utils::Instant arrival)
{
    return arrival + hold
        + Utils::Duration(static_cast<std::int64_t>(static_cast<double>(hold.count()) * maxClockDrift))
        + expiryMargin;
}

PossibleHolder& claimOf(Granter& granter, const Routing::KeySpan& span, const Utils::UpstreamId& upstream)
{
    for (PossibleHolder& claim : granter.possibleHolders) {
        if (claim.span == span && claim.upstream == upstream)
            return claim;
    }
    granter.possibleHolders.push_back({ span, upstream, {}, {} });
    return granter.possibleHolders.back();
}

Utils::Instant endOf(const PossibleHolder& claim)
{
    return std::max(claim.leaseExpiry, claim.pendingLeaseExpiry);
}

/// Takes \a span out of what \a upstream may hold.
void cutClaims(Granter& granter, const Routing::KeySpan& span, const Utils::UpstreamId& upstream)
{
    std::vector<PossibleHolder> left;
    for (const PossibleHolder& claim : granter.possibleHolders) {
        if (claim.upstream != upstream || !overlap(claim.span, span)) {
            left.push_back(claim);
            continue;
        }
        if (claim.span.first < span.first)
            left.push_back({ { claim.span.first, static_cast<std::uint16_t>(span.first - 1) }, upstream,
                claim.leaseExpiry, claim.pendingLeaseExpiry });
        if (claim.span.last > span.last)
            left.push_back({ { static_cast<std::uint16_t>(span.last + 1), claim.span.last }, upstream,
                claim.leaseExpiry, claim.pendingLeaseExpiry });
    }
    granter.possibleHolders = std::move(left);
}

/// The first that may hold keys of \a segment and is not its holder.
const PossibleHolder* foreignClaim(const Granter& granter, const Segment& segment)
{
    const auto found = std::find_if(
        granter.possibleHolders.begin(), granter.possibleHolders.end(), [&](const PossibleHolder& claim) {
            return claim.upstream != segment.holder && overlap(claim.span, segment.span);
        });
    return found == granter.possibleHolders.end() ? nullptr : &*found;
}

std::uint64_t nextToken(Granter& granter)
{
    ++granter.tokensUsed;
    return granter.assignment.term * tokensPerTerm + granter.tokensUsed;
}

bool isDue(const SentAction& sent, Utils::Duration pause, Utils::Instant now)
{
    return !sent.isAwaitingResponse && now - sent.sentAt >= pause;
}

GrantAction makeRelease(Granter& granter, const Segment& segment, const PossibleHolder& claim)
{
    GrantAction action;
    action.kind = GrantAction::Kind::Release;
    action.service = granter.assignment.service;
    action.upstream = claim.upstream;
    action.span = common(claim.span, segment.span);
    action.segmentFirstKey = segment.span.first;
    // A higher token than that of any grant still under way, so that none can take effect after the release.
    action.token = nextToken(granter);
    return action;
}

/// A holder that left a call unanswered is asked again without its claim growing: if it is lost, its keys are
/// free as soon as they can be.
Utils::Duration holdFor(
    const Granter& granter, const Segment& segment, Utils::Duration hold, Utils::Instant now)
{
    if (!granter.unresponsiveSince.contains(segment.holder))
        return hold;
    Utils::Instant until {};
    for (const PossibleHolder& claim : granter.possibleHolders) {
        if (claim.upstream == segment.holder && overlap(claim.span, segment.span))
            until = std::max(until, endOf(claim));
    }
    const double left
        = static_cast<double>((until - now - grantTimeout - expiryMargin).count()) / (1 + maxClockDrift);
    const Utils::Duration remaining(static_cast<std::int64_t>(left));
    return remaining < minKeyLease ? std::min(hold, minKeyLease) : std::min(hold, remaining);
}

GrantAction makeGrant(Granter& granter, Segment& segment, Utils::Duration hold, Utils::Instant now)
{
    if (segment.token == 0)
        segment.token = nextToken(granter);
    GrantAction action;
    action.service = granter.assignment.service;
    action.upstream = segment.holder;
    action.span = segment.span;
    action.segmentFirstKey = segment.span.first;
    action.token = segment.token;
    action.keyLease = holdFor(granter, segment, hold, now);
    const auto handover = granter.handovers.find(segment.span.first);
    if (!segment.isConfirmed && handover != granter.handovers.end())
        action.handover = handover->second;
    PossibleHolder& claim = claimOf(granter, segment.span, segment.holder);
    claim.pendingLeaseExpiry
        = std::max(claim.pendingLeaseExpiry, endOfHold(action.keyLease, now + grantTimeout));
    return action;
}

Segment* segmentAt(Granter& granter, std::uint16_t key)
{
    const auto found = std::find_if(granter.assignment.segments.begin(), granter.assignment.segments.end(),
        [key](const Segment& segment) { return Routing::contains(segment.span, key); });
    return found == granter.assignment.segments.end() ? nullptr : &*found;
}

void addFormer(Segment& segment, const Utils::UpstreamId& upstream)
{
    const bool known = std::find(segment.previousHolders.begin(), segment.previousHolders.end(), upstream)
        != segment.previousHolders.end();
    if (!known && upstream != segment.holder && !upstream.value.empty())
        segment.previousHolders.push_back(upstream);
}

/// Everyone who may hold keys of \a segment or may yet be granted some until the record is written.
void nameFormers(const Granter& granter, Segment& segment)
{
    segment.previousHolders.clear();
    for (const PossibleHolder& claim : granter.possibleHolders) {
        if (overlap(claim.span, segment.span))
            addFormer(segment, claim.upstream);
    }
    for (const Segment& inForce : granter.assignment.segments) {
        if (overlap(inForce.span, segment.span))
            addFormer(segment, inForce.holder);
    }
}

/// Takes over what is known of the holder's grant: the token where the segment lies within one in force, and
/// whether all of its keys are settled.
void inherit(const Granter& granter, Segment& segment)
{
    segment.token = 0;
    std::uint32_t settledKeys = 0;
    for (const Segment& inForce : granter.assignment.segments) {
        if (!overlap(inForce.span, segment.span) || inForce.holder != segment.holder)
            continue;
        if (inForce.isConfirmed)
            settledKeys += Routing::countKeys(common(inForce.span, segment.span));
        if (inForce.span.first <= segment.span.first && segment.span.last <= inForce.span.last)
            segment.token = inForce.token;
    }
    segment.isConfirmed = !segment.holder.value.empty() && settledKeys == Routing::countKeys(segment.span);
}

/// An accepted grant arrived before its answer did; one that got none may have arrived as late as it could;
/// one whose connection was refused has not arrived.
void settleClaim(Granter& granter, const GrantAction& action, GrantOutcome answer, Utils::Instant now)
{
    for (PossibleHolder& claim : granter.possibleHolders) {
        if (claim.upstream != action.upstream || claim.span != action.span)
            continue;
        const Utils::Instant end
            = answer == GrantOutcome::Accepted ? endOfHold(action.keyLease, now) : claim.pendingLeaseExpiry;
        if (answer != GrantOutcome::ConnectionRefused)
            claim.leaseExpiry = std::max(claim.leaseExpiry, std::min(end, claim.pendingLeaseExpiry));
        claim.pendingLeaseExpiry = {};
    }
}

/// Whether the segment is settled by the answer.
bool noteGrantAnswer(Granter& granter, Segment& segment, const GrantAction& action, GrantOutcome answer)
{
    if (segment.span != action.span || segment.holder != action.upstream || segment.token != action.token)
        return false;
    // Another token of this term was higher; the next grant's is above it.
    if (answer == GrantOutcome::FencedOff)
        segment.token = 0;
    if (answer != GrantOutcome::Accepted || segment.isConfirmed)
        return false;
    segment.isConfirmed = true;
    granter.handovers.erase(segment.span.first);
    granter.hasUnwrittenChanges = true;
    return true;
}

void noteReleaseAnswer(Granter& granter, const GrantAction& action, GrantOutcome answer,
    const std::string& handover, SentAction& sent)
{
    if (answer != GrantOutcome::Accepted)
        return;
    cutClaims(granter, action.span, action.upstream);
    if (!handover.empty())
        granter.handovers[action.segmentFirstKey] = handover;
    // What has become free is granted without a pause.
    sent.sentAt = {};
}

/// How many holders may be silent before the cause is more likely the leader's own link.
std::size_t mostSilentAlone(const Granter& granter)
{
    std::set<Utils::UpstreamId> holders;
    for (const Segment& segment : granter.assignment.segments)
        holders.insert(segment.holder);
    return std::max<std::size_t>(holders.size() / correlatedFailureDivisor, 1);
}

} // namespace Internal

Granter takeOver(
    KeyAssignment assignment, std::uint64_t term, Utils::Duration longestHold, Utils::Instant now)
{
    Granter granter;
    granter.assignment = std::move(assignment);
    granter.assignment.term = term;
    // The former leader's last grants may still be under way.
    const Utils::Instant until = Internal::endOfHold(longestHold, now + grantTimeout);
    for (Segment& segment : granter.assignment.segments) {
        segment.token = 0;
        if (!segment.holder.value.empty())
            Internal::claimOf(granter, segment.span, segment.holder).leaseExpiry = until;
        for (const Utils::UpstreamId& former : segment.previousHolders)
            Internal::claimOf(granter, segment.span, former).leaseExpiry = until;
    }
    return granter;
}

KeyAssignment makeNextRecord(const Granter& granter, const std::optional<std::vector<KeyPlacement>>& plan)
{
    KeyAssignment record = granter.assignment;
    ++record.version;
    if (plan) {
        record.segments.clear();
        for (const KeyPlacement& placement : *plan)
            record.segments.push_back({ placement.span, placement.holder, false, 0, {} });
    }
    for (Segment& segment : record.segments) {
        Internal::inherit(granter, segment);
        if (segment.isConfirmed)
            segment.previousHolders.clear();
        else
            Internal::nameFormers(granter, segment);
    }
    return record;
}

void applyWrittenRecord(Granter& granter, KeyAssignment record)
{
    for (Segment& segment : record.segments)
        Internal::inherit(granter, segment);
    granter.assignment = std::move(record);
}

std::vector<GrantAction> collectDueActions(Granter& granter, Utils::Duration hold, Utils::Instant now)
{
    std::erase_if(granter.possibleHolders,
        [now](const PossibleHolder& claim) { return Internal::endOf(claim) <= now; });
    std::vector<GrantAction> actions;
    for (Segment& segment : granter.assignment.segments) {
        SentAction& sent = granter.sentActions[segment.span.first];
        const bool calm = segment.isConfirmed && !granter.unresponsiveSince.contains(segment.holder);
        if (segment.holder.value.empty() || granter.terminatedUpstreams.contains(segment.holder)
            || !Internal::isDue(sent, calm ? keyLeaseRenewalInterval : grantRetryInterval, now))
            continue;
        const PossibleHolder* foreign
            = segment.isConfirmed ? nullptr : Internal::foreignClaim(granter, segment);
        actions.push_back(foreign ? Internal::makeRelease(granter, segment, *foreign)
                                  : Internal::makeGrant(granter, segment, hold, now));
        sent = { now, true };
    }
    return actions;
}

bool recordGrantOutcome(Granter& granter, const GrantAction& action, GrantOutcome answer,
    const std::string& handover, Utils::Instant now)
{
    SentAction& sent = granter.sentActions[action.segmentFirstKey];
    sent.isAwaitingResponse = false;
    if (answer == GrantOutcome::Accepted || answer == GrantOutcome::FencedOff)
        granter.unresponsiveSince.erase(action.upstream);
    else
        granter.unresponsiveSince.try_emplace(action.upstream, now);
    if (action.kind == GrantAction::Kind::Grant)
        Internal::settleClaim(granter, action, answer, now);
    if (action.kind == GrantAction::Kind::Release) {
        Internal::noteReleaseAnswer(granter, action, answer, handover, sent);
        return false;
    }
    Segment* const segment = Internal::segmentAt(granter, action.span.first);
    return segment && Internal::noteGrantAnswer(granter, *segment, action, answer);
}

void recordRestart(Granter& granter, const Utils::UpstreamId& upstream)
{
    granter.unresponsiveSince.erase(upstream);
    granter.terminatedUpstreams.erase(upstream);
    std::erase_if(
        granter.possibleHolders, [&](const PossibleHolder& claim) { return claim.upstream == upstream; });
    for (Segment& segment : granter.assignment.segments) {
        if (segment.holder != upstream)
            continue;
        segment.isConfirmed = false;
        // Another life of the same upstream needs a higher token.
        segment.token = 0;
        granter.hasUnwrittenChanges = true;
    }
}

void recordTermination(Granter& granter, const Utils::UpstreamId& upstream)
{
    recordRestart(granter, upstream);
    granter.terminatedUpstreams.insert(upstream);
}

std::set<Utils::UpstreamId> findUnresponsiveUpstreams(const Granter& granter, Utils::Instant now)
{
    std::set<Utils::UpstreamId> lost;
    for (auto it = granter.unresponsiveSince.begin(); it != granter.unresponsiveSince.end(); ++it) {
        if (now - it->second >= holderResponseTimeout)
            lost.insert(it->first);
    }
    if (lost.size() <= Internal::mostSilentAlone(granter))
        return lost;
    std::erase_if(lost, [&](const Utils::UpstreamId& upstream) {
        return now - granter.unresponsiveSince.at(upstream) < correlatedHolderResponseTimeout;
    });
    return lost;
}

void forgetUnresponsiveUpstreams(Granter& granter, Utils::Instant now)
{
    std::erase_if(
        granter.unresponsiveSince, [&](const std::pair<const Utils::UpstreamId, Utils::Instant>& doubt) {
            const bool holds
                = std::any_of(granter.assignment.segments.begin(), granter.assignment.segments.end(),
                    [&](const Segment& segment) { return segment.holder == doubt.first; });
            return !holds && now - doubt.second >= unresponsiveUpstreamRetention;
        });
}

} // namespace Granting
