#include <declarations/internal/checkcontext.h>

#include <declarations/declarationsconstants.h>

#include <cmath>
#include <map>
#include <utility>

namespace Declarations::Internal {

namespace {

void checkRank(CheckContext& context, const Rank& rank, std::map<unsigned, Utils::RankId>& orders)
{
    const ObjectRef ref { ObjectKind::Rank, rank.id.value };
    if (!isSound(context, ref))
        return;
    const std::pair<std::map<unsigned, Utils::RankId>::iterator, bool> place
        = orders.emplace(rank.order, rank.id);
    if (!place.second) {
        reportAt(context, FaultCode::DuplicateRankOrder, ref, "/order",
            "rank \"" + place.first->second.value + "\" has order " + std::to_string(rank.order) + " too");
    }
    if (rank.defaultTimeout < rank.target) {
        reportAt(context, FaultCode::TimeoutBelowTarget, ref, "/default_timeout_ms",
            "must not be shorter than target_ms");
    }
}

/// Reports the rank, in order of names, with which the sum of the floors passes 1.
void checkFloors(CheckContext& context)
{
    double floors = 0;
    for (const std::pair<const Utils::RankId, Rank>& entry : context.configuration.ranks) {
        floors += entry.second.floorShare;
        if (std::round(floors * shareSteps) <= shareSteps)
            continue;
        const ObjectRef ref { ObjectKind::Rank, entry.first.value };
        reportAt(context, FaultCode::FloorsOverOne, ref, "/floor_share",
            "the floors of all ranks add up to more than 1");
        return;
    }
}

} // namespace

void checkRanks(CheckContext& context)
{
    std::map<unsigned, Utils::RankId> orders;
    for (const std::pair<const Utils::RankId, Rank>& entry : context.configuration.ranks)
        checkRank(context, entry.second, orders);
    checkFloors(context);
}

} // namespace Declarations::Internal
