#include <requests/link.h>

#include <requests/requestsconstants.h>

#include <algorithm>
#include <cmath>

namespace Requests {

namespace {

constexpr double bitsPerByte = 8;
constexpr double microsecondsPerSecond = 1e6;

double burstOf(double bitsPerSecond)
{
    return bitsPerSecond * static_cast<double>(linkBurst.count()) / microsecondsPerSecond;
}

/// Fills the lane up to \a now; returns the bits that did not fit.
double fill(LinkLane& lane, Utils::Instant now)
{
    const Utils::Duration passed = std::max(now - lane.filledAt, Utils::Duration(0));
    lane.filledAt = std::max(now, lane.filledAt);
    const double bits
        = lane.bits + lane.bitsPerSecond * static_cast<double>(passed.count()) / microsecondsPerSecond;
    lane.bits = std::min(bits, lane.burst);
    return bits - lane.bits;
}

void fillAll(LinkBudget& budget, Utils::Instant now)
{
    double unused = 0;
    for (std::pair<const Utils::RankId, LinkLane>& lane : budget.lanes)
        unused += fill(lane.second, now);
    fill(budget.shared, now);
    budget.shared.bits = std::min(budget.shared.bits + unused, budget.shared.burst);
}

Utils::Duration timeToFill(double bits, double bitsPerSecond)
{
    const double seconds = bits / std::max(bitsPerSecond, 1.0);
    return Utils::Duration(static_cast<std::int64_t>(std::ceil(seconds * microsecondsPerSecond)) + 1);
}

/// Takes \a bits from a rank's lane and what it lacks from the shared one; what neither has is the lane's
/// debt.
void charge(LinkBudget& budget, LinkLane& lane, double bits)
{
    const double fromLane = std::clamp(lane.bits, 0.0, bits);
    lane.bits -= fromLane;
    bits -= fromLane;
    const double fromShared = std::clamp(budget.shared.bits, 0.0, bits);
    budget.shared.bits -= fromShared;
    bits -= fromShared;
    if (lane.bitsPerSecond > 0)
        lane.bits -= bits;
    else
        budget.shared.bits -= bits;
}

/// The lane of \a rank, or the shared one for a rank that was promised nothing.
LinkLane& laneOf(LinkBudget& budget, const Utils::RankId& rank)
{
    const std::map<Utils::RankId, LinkLane>::iterator found = budget.lanes.find(rank);
    return found == budget.lanes.end() ? budget.shared : found->second;
}

} // namespace

LinkBudget linkBudgetOf(const Declarations::RegionLink& link, unsigned vms, Utils::Instant now)
{
    LinkBudget budget;
    budget.bitsPerSecond = static_cast<double>(link.bitsPerSecond) / std::max(vms, 1U);
    double promised = 0;
    for (const std::pair<const Utils::RankId, double>& share : link.rankShares) {
        const double rate = budget.bitsPerSecond * share.second;
        budget.lanes[share.first] = LinkLane { rate, burstOf(rate), burstOf(rate), now };
        promised += rate;
    }
    const double rest = std::max(budget.bitsPerSecond - promised, 0.0);
    budget.shared = LinkLane { rest, burstOf(budget.bitsPerSecond), burstOf(rest), now };
    return budget;
}

LinkDecision takeLink(LinkBudget& budget, const Utils::RankId& rank, std::uint64_t bytes, Utils::Instant now)
{
    fillAll(budget, now);
    LinkLane& lane = laneOf(budget, rank);
    const double bits = bitsPerByte * static_cast<double>(bytes);
    if (lane.bits <= 0 && budget.shared.bits < bits)
        return LinkDecision { false, timeToFill(-lane.bits, lane.bitsPerSecond) };
    charge(budget, lane, bits);
    return LinkDecision { true, {} };
}

void chargeLink(LinkBudget& budget, const Utils::RankId& rank, std::uint64_t bytes, Utils::Instant now)
{
    fillAll(budget, now);
    charge(budget, laneOf(budget, rank), bitsPerByte * static_cast<double>(bytes));
}

} // namespace Requests
