#include <commands/agreedreport.h>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <map>
#include <utility>

namespace Commands::Internal {

using Agreement::AgreedState;
using Agreement::PoolAssignment;
using Agreement::ShardAssignment;

namespace {

/// How many shards an upstream owns and stands by for.
struct UpstreamLoad {
    std::size_t owned = 0;
    std::size_t standby = 0;
};

std::map<Utils::UpstreamId, UpstreamLoad> loadsOf(const PoolAssignment& assignment)
{
    std::map<Utils::UpstreamId, UpstreamLoad> loads;
    for (const std::pair<const Utils::UpstreamId, Utils::Incarnation>& upstream : assignment.upstreams)
        loads[upstream.first] = {};
    for (const std::pair<const Utils::ShardId, ShardAssignment>& shard : assignment.shards) {
        loads[shard.second.owner].owned += 1;
        if (!shard.second.standby.value.empty())
            loads[shard.second.standby].standby += 1;
    }
    return loads;
}

std::string_view shown(const std::string& name)
{
    return name.empty() ? std::string_view("(none)") : std::string_view(name);
}

void writeAssignment(std::ostream& stream, const PoolAssignment& assignment)
{
    stream << "pool " << assignment.pool.value << ": token " << assignment.token << ", dispatcher "
           << shown(assignment.dispatcher.vm.value) << ", successor " << shown(assignment.successor.vm.value)
           << ", " << assignment.shards.size() << " shards, " << assignment.formers.size() << " unsettled\n";
    for (const std::pair<const Utils::UpstreamId, UpstreamLoad>& load : loadsOf(assignment)) {
        stream << "  " << load.first.value << ": owns " << load.second.owned << ", stands by for "
               << load.second.standby << '\n';
    }
}

boost::json::object assignmentToJson(const PoolAssignment& assignment)
{
    boost::json::object shards;
    for (const std::pair<const Utils::ShardId, ShardAssignment>& shard : assignment.shards) {
        boost::json::object holders;
        holders["owner"] = shard.second.owner.value;
        holders["standby"] = shard.second.standby.value;
        shards[shard.first.value] = std::move(holders);
    }
    boost::json::object object;
    object["token"] = assignment.token;
    object["dispatcher"] = assignment.dispatcher.vm.value;
    object["successor"] = assignment.successor.vm.value;
    object["unsettled"] = assignment.formers.size();
    object["shards"] = std::move(shards);
    return object;
}

boost::json::value parseDeclarations(const std::string& text)
{
    boost::json::error_code error;
    boost::json::value document = boost::json::parse(text, error);
    return error ? boost::json::value(nullptr) : document;
}

} // namespace

void writeDeclarations(std::ostream& stream, const std::string& text)
{
    const boost::json::value document = parseDeclarations(text);
    const boost::json::value* objects
        = document.is_object() ? document.get_object().if_contains("objects") : nullptr;
    if (!objects || !objects->is_array())
        return;
    stream << "{\"objects\":[";
    std::string_view separator = "\n";
    for (const boost::json::value& object : objects->get_array()) {
        stream << separator << boost::json::serialize(object);
        separator = ",\n";
    }
    stream << "\n]}\n";
}

void writeAgreed(std::ostream& stream, const AgreedState& agreed)
{
    stream << "configuration at offset " << agreed.configurationOffset << ", log read to offset "
           << agreed.applied << ", newest checkpoint at " << agreed.checkpoint << '\n';
    for (const std::pair<const Utils::PoolId, PoolAssignment>& assignment : agreed.assignments)
        writeAssignment(stream, assignment.second);
}

boost::json::object agreedToJson(const AgreedState& agreed)
{
    boost::json::object pools;
    for (const std::pair<const Utils::PoolId, PoolAssignment>& assignment : agreed.assignments)
        pools[assignment.first.value] = assignmentToJson(assignment.second);
    boost::json::object object;
    object["configuration_offset"] = agreed.configurationOffset;
    object["applied"] = agreed.applied;
    object["checkpoint"] = agreed.checkpoint;
    object["configuration"] = parseDeclarations(agreed.configurationText);
    object["pools"] = std::move(pools);
    return object;
}

} // namespace Commands::Internal
