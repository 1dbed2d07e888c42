#include <declarations/internal/checkcontext.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace Declarations::Internal {

namespace {

void checkServiceRanks(CheckContext& context, const Service& service, const ObjectRef& ref)
{
    std::set<Utils::RankId> seen;
    std::size_t index = 0;
    for (const Utils::RankId& rank : service.ranks) {
        const std::string field = "/ranks/" + std::to_string(index);
        index += 1;
        checkReference(context, FaultCode::UnknownRank, context.configuration.ranks, rank, ref, field);
        if (!seen.insert(rank).second) {
            reportAt(context, FaultCode::DuplicateReference, ref, field,
                "rank \"" + rank.value + "\" is listed twice");
        }
    }
}

void checkDefaultRank(CheckContext& context, const Service& service, const ObjectRef& ref)
{
    if (!isSound(context, ref))
        return;
    if (service.ranks.empty()) {
        reportAt(context, FaultCode::ServiceWithoutRanks, ref, "/ranks", "a service needs a rank");
        return;
    }
    if (std::find(service.ranks.begin(), service.ranks.end(), service.defaultRank) == service.ranks.end()) {
        reportAt(context, FaultCode::DefaultRankNotAllowed, ref, "/default_rank",
            "\"" + service.defaultRank.value + "\" is not one of the service's ranks");
    }
}

} // namespace

void checkServices(CheckContext& context)
{
    for (const std::pair<const Utils::ServiceId, Service>& entry : context.configuration.services) {
        const Service& service = entry.second;
        const ObjectRef ref { ObjectKind::Service, service.id.value };
        checkServiceRanks(context, service, ref);
        checkDefaultRank(context, service, ref);
        checkReference(context, FaultCode::UnknownPolicy, context.configuration.policies, service.policy, ref,
            "/policy");
    }
}

} // namespace Declarations::Internal
