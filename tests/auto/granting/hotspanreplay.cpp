#include "hotspanreplay.h"

#include <granting/grantingconstants.h>
#include <granting/planplacement.h>
#include <granting/planschedule.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace Granting;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t keyCount = 65536;
constexpr Utils::Duration duration = 32s;
constexpr Utils::Duration step = 50ms;
/// Keys are placed and rates known before the first span.
constexpr Utils::Duration calmTime = 2s;
constexpr Utils::Duration writeLatency = 30ms;
/// Of a call, and of an update to the VMs.
constexpr Utils::Duration messageLatency = 10ms;
/// Time without a leader after one is lost.
constexpr Utils::Duration leaderlessTime = leaderLeaseDuration + expiryMargin + maxLeaseAcquisitionJitter;
constexpr double spreadShare = 0.05;
constexpr int noHolder = -1;

struct Change {
    KeyPlacement placement;
    Utils::Instant plannedAt;
    Utils::Instant releasedAt;
    Utils::Instant settledAt;
};

struct VmCounts {
    std::map<std::uint16_t, unsigned> counts;
    Utils::Instant reportsAt;
};

struct Replay {
    HotSpanLoad load;
    HotSpanResult result;
    std::mt19937_64 random;
    std::vector<PlacementTarget> targets;
    std::map<std::string, int> targetIndexes;
    std::vector<KeyPlacement> placements;
    /// By key: the index of the upstream that serves it, or noHolder while it changes hands.
    std::vector<int> holders;
    std::vector<Change> changes;
    std::vector<VmCounts> vms;
    KeyLoad keyLoad;
    bool hasNewReports = false;
    /// Holders have been confirmed since the last plan.
    bool hasSettled = false;
    Utils::Instant plannedAt {};
    Utils::Instant start { 1000s };
};

unsigned drawBelow(Replay& replay, unsigned limit)
{
    return static_cast<unsigned>(std::uniform_int_distribution<unsigned>(0, limit - 1)(replay.random));
}

bool isHot(const Replay& replay, Utils::Instant at) { return at >= replay.start + calmTime; }

/// First key of the span that is busy at \a at.
unsigned hotStart(const Replay& replay, Utils::Instant at)
{
    const std::int64_t index = (at - replay.start - calmTime) / replay.load.hotTime;
    return static_cast<unsigned>((7919 + index * 24593) % (keyCount - replay.load.hotKeys));
}

void drawRequests(Replay& replay, Utils::Instant at)
{
    const double mean = replay.load.requestsPerSecond * std::chrono::duration<double>(step).count();
    const int count = std::poisson_distribution<int>(mean)(replay.random);
    for (int request = 0; request < count; ++request) {
        unsigned key = drawBelow(replay, keyCount);
        if (isHot(replay, at)
            && std::uniform_real_distribution<double>()(replay.random) < replay.load.hotShare)
            key = hotStart(replay, at) + drawBelow(replay, replay.load.hotKeys);
        ++replay.vms[drawBelow(replay, replay.load.vms)].counts[static_cast<std::uint16_t>(key)];
    }
}

bool hasLeader(const Replay& replay, Utils::Instant at)
{
    const Utils::Instant lostAt = replay.start + replay.load.leaderLostAfter;
    return replay.load.leaderLostAfter == Utils::Duration::zero() || at < lostAt
        || at >= lostAt + leaderlessTime;
}

void deliverReports(Replay& replay, Utils::Instant at)
{
    // VMs behind relays first: what they report may pass at the same time.
    for (unsigned vm = replay.load.vms; vm-- > 0;) {
        VmCounts& own = replay.vms[vm];
        if (own.reportsAt > at)
            continue;
        const unsigned behind = replay.load.vms - replay.load.directVms;
        own.reportsAt
            += vm < std::min(behind, replay.load.directVms) ? relayedLoadReportInterval : loadReportInterval;
        for (auto it = own.counts.begin(); it != own.counts.end(); ++it) {
            if (vm >= replay.load.directVms)
                replay.vms[vm % replay.load.directVms].counts[it->first] += it->second;
            else if (hasLeader(replay, at))
                addRequests(replay.keyLoad, it->first, it->second);
        }
        replay.hasNewReports = replay.hasNewReports || vm < replay.load.directVms;
        own.counts.clear();
    }
}

bool isServedBy(const Replay& replay, const KeyPlacement& placement)
{
    const int holder = replay.targetIndexes.at(placement.holder.value);
    return std::all_of(replay.holders.begin() + placement.span.first,
        replay.holders.begin() + placement.span.last + 1, [holder](int other) { return other == holder; });
}

bool coversAllKeys(const std::vector<KeyPlacement>& placements)
{
    std::uint32_t next = 0;
    for (const KeyPlacement& placement : placements) {
        if (placement.span.first != next || placement.span.last < placement.span.first)
            return false;
        next = placement.span.last + 1U;
    }
    return next == keyCount;
}

/// A segment that its holder doesn't hold entirely waits until the others have released their part.
void applyPlan(Replay& replay, const std::vector<KeyPlacement>& plan, Utils::Instant at)
{
    std::vector<Change> changes;
    for (const KeyPlacement& placement : plan) {
        const auto pending = std::find_if(
            replay.changes.begin(), replay.changes.end(), [&placement](const Change& change) {
                return change.placement.span == placement.span && change.placement.holder == placement.holder;
            });
        if (pending != replay.changes.end()) {
            changes.push_back(*pending);
            continue;
        }
        if (isServedBy(replay, placement))
            continue;
        const Utils::Instant releasedAt = at + writeLatency + nextCallDelay;
        changes.push_back({ placement, at, releasedAt,
            releasedAt + replay.load.work + nextCallDelay + confirmationPlanInterval / 2 + writeLatency
                + 3 * messageLatency });
        ++replay.result.movedSegments;
        const int holder = replay.targetIndexes.at(placement.holder.value);
        for (std::size_t key = placement.span.first; key <= placement.span.last; ++key)
            replay.result.movedKeys += replay.holders[key] != holder ? 1 : 0;
    }
    replay.changes = std::move(changes);
    replay.placements = plan;
    replay.result.coversAllKeys = replay.result.coversAllKeys && coversAllKeys(plan);
    replay.result.maxSegments = std::max(replay.result.maxSegments, plan.size());
}

void advanceChanges(Replay& replay, Utils::Instant at)
{
    for (const Change& change : replay.changes) {
        if (change.releasedAt > at)
            continue;
        if (change.settledAt <= at)
            replay.result.longestChangeSeconds = std::max(replay.result.longestChangeSeconds,
                std::chrono::duration<double>(at - change.plannedAt).count());
        const int holder
            = change.settledAt <= at ? replay.targetIndexes.at(change.placement.holder.value) : noHolder;
        std::fill(replay.holders.begin() + change.placement.span.first,
            replay.holders.begin() + change.placement.span.last + 1, holder);
    }
    if (std::erase_if(replay.changes, [at](const Change& change) { return change.settledAt <= at; }) > 0)
        replay.hasSettled = true;
}

void loseLeader(Replay& replay)
{
    for (Change& change : replay.changes) {
        change.releasedAt += leaderlessTime;
        change.settledAt += leaderlessTime;
    }
    replay.keyLoad = {};
}

void planIfDue(Replay& replay, Utils::Instant at)
{
    decay(replay.keyLoad, at);
    const Utils::Duration elapsed = at - replay.plannedAt;
    const bool isDue = elapsed >= planInterval || replay.hasSettled
        || (replay.hasNewReports && elapsed >= overloadPlanInterval
            && computeExcess(replay.placements, replay.targets, replay.keyLoad) > 0);
    if (!isDue)
        return;
    replay.hasNewReports = false;
    replay.hasSettled = false;
    replay.plannedAt = at;
    for (KeyPlacement& placement : replay.placements)
        placement.isSettled = isServedBy(replay, placement);
    const std::optional<std::vector<KeyPlacement>> plan
        = planPlacement(replay.placements, replay.targets, replay.keyLoad);
    if (plan)
        applyPlan(replay, *plan, at);
}

/// Adds up the requests of one step. Returns the share of them that exceeds what their holders can do or
/// waits for a holder.
double countRequests(Replay& replay, Utils::Instant at)
{
    const double seconds = std::chrono::duration<double>(step).count();
    const double total = replay.load.requestsPerSecond * seconds;
    const double hot = isHot(replay, at) ? total * replay.load.hotShare : 0;
    std::vector<double> offered(replay.targets.size(), 0);
    double beyond = 0;
    double waiting = 0;
    const auto add = [&](std::size_t key, double requests) {
        if (replay.holders[key] == noHolder)
            waiting += requests;
        else
            offered[static_cast<std::size_t>(replay.holders[key])] += requests;
    };
    for (std::size_t key = 0; key < keyCount; ++key)
        add(key, (total - hot) / keyCount);
    for (unsigned index = 0; hot > 0 && index < replay.load.hotKeys; ++index)
        add(hotStart(replay, at) + index, hot / replay.load.hotKeys);
    for (std::size_t index = 0; index < offered.size(); ++index)
        beyond += std::max(0.0, offered[index] - replay.targets[index].capacity * seconds);
    replay.result.total += total;
    replay.result.beyondCapacity += beyond;
    replay.result.duringMoves += waiting;
    return (beyond + waiting) / total;
}

Replay startReplay(const HotSpanLoad& load, std::uint64_t seed)
{
    Replay replay;
    replay.load = load;
    replay.random.seed(seed);
    const double capacity = load.slots / std::chrono::duration<double>(load.work).count();
    for (unsigned index = 0; index < load.upstreams; ++index) {
        replay.targets.push_back({ { "u" + std::to_string(index) }, capacity });
        replay.targetIndexes[replay.targets.back().id.value] = static_cast<int>(index);
    }
    replay.placements = *planPlacement({}, replay.targets, {});
    for (const KeyPlacement& placement : replay.placements)
        replay.holders.insert(replay.holders.end(), Routing::countKeys(placement.span),
            replay.targetIndexes[placement.holder.value]);
    replay.keyLoad.decayedAt = replay.start;
    for (unsigned vm = 0; vm < load.vms; ++vm)
        replay.vms.push_back({ {}, replay.start + step * drawBelow(replay, 10) });
    return replay;
}

} // namespace

HotSpanResult replayHotSpans(const HotSpanLoad& load, std::uint64_t seed)
{
    Replay replay = startReplay(load, seed);
    double secondsUnspread = 0;
    unsigned spans = 0;
    Utils::Instant spreadAt {};
    for (Utils::Instant at = replay.start; at < replay.start + duration; at += step) {
        const bool isSpanStart
            = isHot(replay, at) && (at - replay.start - calmTime) % load.hotTime == Utils::Duration::zero();
        if (isSpanStart) {
            ++spans;
            spreadAt = {};
            replay.result.lastSecondsUntilSpread = 0;
        }
        drawRequests(replay, at);
        deliverReports(replay, at);
        if (load.leaderLostAfter != Utils::Duration::zero() && at == replay.start + load.leaderLostAfter)
            loseLeader(replay);
        if (hasLeader(replay, at) && (at - replay.start) % (2 * step) == Utils::Duration::zero())
            planIfDue(replay, at);
        advanceChanges(replay, at);
        const double beyondShare = countRequests(replay, at);
        if (spreadAt == Utils::Instant {} && beyondShare <= spreadShare)
            spreadAt = at;
        if (isHot(replay, at) && spreadAt == Utils::Instant {}) {
            replay.result.lastSecondsUntilSpread += std::chrono::duration<double>(step).count();
            secondsUnspread += std::chrono::duration<double>(step).count();
        }
    }
    replay.result.secondsUntilSpread = secondsUnspread / std::max(spans, 1U);
    return replay.result;
}
