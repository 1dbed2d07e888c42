#include <routing/evacuations.h>

#include <algorithm>
#include <utility>

namespace Routing {

bool startEvacuation(
    Evacuations& evacuations, const Utils::ZoneId& zone, Utils::Offset offset, Utils::Instant confirmedAt)
{
    const auto found = evacuations.byZone.find(zone);
    if (found != evacuations.byZone.end() && offset < found->second.offset)
        return false;
    Evacuation& evacuation = evacuations.byZone[zone];
    evacuation.offset = offset;
    if (evacuation.isInForce)
        return false;
    evacuation.isInForce = true;
    evacuation.since = confirmedAt;
    return true;
}

bool endEvacuation(
    Evacuations& evacuations, const Utils::ZoneId& zone, Utils::Offset offset, Utils::Instant now)
{
    Evacuation& evacuation = evacuations.byZone[zone];
    if (offset < evacuation.offset)
        return false;
    evacuation.offset = offset;
    if (!evacuation.isInForce)
        return false;
    evacuation.isInForce = false;
    evacuation.endedAt = now;
    return true;
}

std::vector<Utils::ZoneId> findEndedEvacuations(
    const Evacuations& evacuations, const std::set<Utils::ZoneId>& inForce, Utils::Offset offset)
{
    std::vector<Utils::ZoneId> ended;
    for (auto it = evacuations.byZone.begin(); it != evacuations.byZone.end(); ++it) {
        if (it->second.isInForce && it->second.offset <= offset && !inForce.contains(it->first))
            ended.push_back(it->first);
    }
    return ended;
}

const Evacuation* findEvacuation(const Evacuations& evacuations, const Utils::ZoneId& zone)
{
    const auto found = evacuations.byZone.find(zone);
    return found != evacuations.byZone.end() && found->second.isInForce ? &found->second : nullptr;
}

std::size_t countEvacuated(const Evacuations& evacuations)
{
    return static_cast<std::size_t>(std::count_if(evacuations.byZone.begin(), evacuations.byZone.end(),
        [](const std::pair<const Utils::ZoneId, Evacuation>& entry) { return entry.second.isInForce; }));
}

} // namespace Routing
