#include <placement/proposerorder.h>
#include <placement/rendezvous.h>

#include <algorithm>
#include <tuple>

namespace Placement {

namespace Internal {

/// Lower comes first.
std::tuple<int, double, Agreement::VmStart> proposerRank(
    const Utils::PoolId& pool, const DispatchPair& present, const Agreement::VmStart& start)
{
    const double score = rendezvousScore(pool.value, start.vm.value);
    if (start == present.dispatcher)
        return { 0, -score, start };
    if (start == present.successor)
        return { 1, -score, start };
    return { 2, -score, start };
}

} // namespace Internal

std::vector<Agreement::VmStart> proposerOrder(
    const Utils::PoolId& pool, const DispatchPair& present, const std::vector<VmCandidate>& vms)
{
    std::vector<Agreement::VmStart> order;
    order.reserve(vms.size());
    for (const VmCandidate& candidate : vms)
        order.push_back(candidate.start);
    std::sort(
        order.begin(), order.end(), [&](const Agreement::VmStart& one, const Agreement::VmStart& other) {
            return Internal::proposerRank(pool, present, one) < Internal::proposerRank(pool, present, other);
        });
    return order;
}

} // namespace Placement
