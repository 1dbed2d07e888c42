#include <gateway/statusreport.h>

#include <membership/health.h>

#include <boost/json.hpp>

namespace Gateway {

namespace Internal {

namespace json = boost::json;

json::object poolStatus(const Agreement::PoolAssignment& assignment)
{
    json::object object;
    object["token"] = assignment.token;
    object["dispatcher"] = assignment.dispatcher.vm.value;
    object["successor"] = assignment.successor.vm.value;
    object["shards"] = assignment.shards.size();
    object["unsettled"] = assignment.formers.size();
    return object;
}

json::object dutyStatus(const Ownership::GranterState& granter)
{
    json::object object;
    object["role"] = Utils::enumName(Ownership::granterRoleNames, granter.role);
    object["token"] = granter.level.token;
    object["epoch"] = granter.level.epoch;
    object["served"] = granter.servedShards.size();
    object["shards"] = granter.assignment.shards.size();
    return object;
}

json::object vmStatus(const ControlState& state, const LogService::VmEntry& entry)
{
    constexpr Utils::Duration silence = std::chrono::milliseconds(1600);
    json::object object;
    const auto health = state.health.find(entry.vm);
    const bool self = entry.vm == state.self.vm;
    const bool alive
        = health != state.health.end() && Membership::isAlive(health->second, Utils::monotonicNow(), silence);
    object["zone"] = entry.zone.value;
    object["alive"] = self || alive;
    object["applied"] = self           ? state.reader.state.agreed.applied
        : health != state.health.end() ? health->second.applied
                                       : 0;
    return object;
}

} // namespace Internal

std::string writeStatus(const ControlState& state)
{
    const Agreement::AgreedState& agreed = state.reader.state.agreed;
    boost::json::object status;
    status["name"] = state.self.vm.value;
    status["incarnation"] = state.self.incarnation;
    status["zone"] = state.settings.zone.value;
    status["region"] = state.settings.region.value;
    status["applied"] = agreed.applied;
    status["configuration_offset"] = agreed.configurationOffset;
    status["log_status"] = Utils::enumName(Agreement::readerStatusNames, state.reader.status);
    status["leaving"] = state.leaving;
    boost::json::object pools;
    for (const std::pair<const Utils::PoolId, Agreement::PoolAssignment>& entry : agreed.assignments)
        pools[entry.first.value] = Internal::poolStatus(entry.second);
    status["pools"] = std::move(pools);
    boost::json::object duties;
    for (const std::pair<const Utils::PoolId, Ownership::GranterState>& entry : state.granters)
        duties[entry.first.value] = Internal::dutyStatus(entry.second);
    status["duties"] = std::move(duties);
    boost::json::object vms;
    for (const std::pair<const Utils::VmId, LogService::VmEntry>& entry : state.vms)
        vms[entry.first.value] = Internal::vmStatus(state, entry.second);
    status["vms"] = std::move(vms);
    return boost::json::serialize(status);
}

} // namespace Gateway
