#include <commands/standingreport.h>

#include <boost/json/object.hpp>

#include <utility>

namespace Commands::Internal {

namespace {

boost::json::array dutiesToJson(const std::vector<PoolDuty>& duties)
{
    boost::json::array list;
    for (const PoolDuty& duty : duties) {
        boost::json::object object;
        object["pool"] = duty.pool.value;
        object["role"] = duty.role;
        object["served"] = duty.servedShards;
        object["shards"] = duty.shards;
        list.push_back(std::move(object));
    }
    return list;
}

/// Records between what the VM has judged and the end of the log.
Utils::Offset recordsBehind(const VmStanding& standing, Utils::Offset end)
{
    return standing.applied + 1 < end ? end - standing.applied - 1 : 0;
}

} // namespace

void writeStanding(std::ostream& stream, const VmStanding& standing, Utils::Offset end, Utils::Offset inForce)
{
    stream << standing.entry.vm.value << " (" << standing.entry.zone.value << ", "
           << Utils::enumName(LogService::vmStateNames, standing.entry.state) << "): ";
    if (!standing.answered) {
        stream << "no answer: " << standing.failure << '\n';
        return;
    }
    stream << (isLagging(standing, inForce) ? "lags" : "current") << ", configuration at offset "
           << standing.configurationOffset << ", log read to " << standing.applied << " ("
           << recordsBehind(standing, end) << " behind), " << standing.logStatus
           << (standing.leaving ? ", leaving" : "") << '\n';
    for (const PoolDuty& duty : standing.duties) {
        stream << "  pool " << duty.pool.value << ": " << duty.role << ", serves " << duty.servedShards
               << " of " << duty.shards << " shards\n";
    }
}

boost::json::array standingsToJson(const std::vector<VmStanding>& standings, Utils::Offset inForce)
{
    boost::json::array list;
    for (const VmStanding& standing : standings) {
        boost::json::object object;
        object["vm"] = standing.entry.vm.value;
        object["zone"] = standing.entry.zone.value;
        object["state"] = Utils::enumName(LogService::vmStateNames, standing.entry.state);
        object["answered"] = standing.answered;
        object["failure"] = standing.failure;
        object["lagging"] = isLagging(standing, inForce);
        object["configuration_offset"] = standing.configurationOffset;
        object["applied"] = standing.applied;
        object["log_status"] = standing.logStatus;
        object["leaving"] = standing.leaving;
        object["duties"] = dutiesToJson(standing.duties);
        list.push_back(std::move(object));
    }
    return list;
}

} // namespace Commands::Internal
