#include <agreement/agreementconstants.h>
#include <agreement/recordcodec.h>

#include <boost/json.hpp>

namespace Agreement {

namespace Internal {

namespace json = boost::json;

json::object writerToJson(const Writer& writer)
{
    json::object object;
    object["kind"] = Utils::enumName(writerKindNames, writer.kind);
    object["name"] = writer.name;
    object["incarnation"] = writer.incarnation;
    return object;
}

json::object headerToJson(const RecordHeader& header, std::string_view kind)
{
    json::object object;
    object["v"] = recordVersion;
    object["kind"] = kind;
    object["writer"] = writerToJson(header.writer);
    object["sequence"] = header.sequence;
    return object;
}

json::object vmStartToJson(const VmStart& start)
{
    json::object object;
    object["vm"] = start.vm.value;
    object["incarnation"] = start.incarnation;
    return object;
}

json::object upstreamsToJson(const std::map<Utils::UpstreamId, Utils::Incarnation>& upstreams)
{
    json::object object;
    for (const std::pair<const Utils::UpstreamId, Utils::Incarnation>& entry : upstreams)
        object[entry.first.value] = entry.second;
    return object;
}

json::object shardsToJson(const std::map<Utils::ShardId, ShardAssignment>& shards)
{
    json::object object;
    for (const std::pair<const Utils::ShardId, ShardAssignment>& entry : shards) {
        json::array holders;
        holders.emplace_back(entry.second.owner.value);
        holders.emplace_back(entry.second.standby.value);
        object[entry.first.value] = std::move(holders);
    }
    return object;
}

json::object formerToJson(const FormerAssignment& former)
{
    json::object object;
    object["token"] = former.token;
    object["dispatcher"] = vmStartToJson(former.dispatcher);
    object["successor"] = vmStartToJson(former.successor);
    object["upstreams"] = upstreamsToJson(former.upstreams);
    object["shards"] = shardsToJson(former.shards);
    return object;
}

json::object assignmentToJson(const PoolAssignment& assignment)
{
    json::object object;
    object["pool"] = assignment.pool.value;
    object["token"] = assignment.token;
    object["dispatcher"] = vmStartToJson(assignment.dispatcher);
    object["successor"] = vmStartToJson(assignment.successor);
    object["upstreams"] = upstreamsToJson(assignment.upstreams);
    object["shards"] = shardsToJson(assignment.shards);
    json::array formers;
    for (const FormerAssignment& former : assignment.formers)
        formers.emplace_back(formerToJson(former));
    object["formers"] = std::move(formers);
    object["first"] = assignment.first;
    return object;
}

json::object progressToJson(const Writer& writer, const WriterProgress& progress)
{
    json::object object;
    object["writer"] = writerToJson(writer);
    object["sequence"] = progress.sequence;
    object["offset"] = progress.offset;
    return object;
}

json::object rangeToJson(const Declarations::KeyRange& range)
{
    json::object object;
    object["id"] = range.id.value;
    object["service"] = range.service.value;
    object["from"] = range.from;
    object["to"] = range.to ? json::value(*range.to) : json::value();
    object["pool"] = range.pool.value;
    object["shards"] = range.shards;
    return object;
}

json::object stateToJson(const AgreedState& state)
{
    json::object object;
    object["applied"] = state.applied;
    object["checkpoint"] = state.checkpoint;
    object["configuration_offset"] = state.configurationOffset;
    object["configuration"] = state.configurationText;
    json::array assignments;
    for (const std::pair<const Utils::PoolId, PoolAssignment>& entry : state.assignments)
        assignments.emplace_back(assignmentToJson(entry.second));
    object["assignments"] = std::move(assignments);
    json::array ranges;
    for (const std::pair<const Utils::KeyRangeId, Declarations::KeyRange>& entry : state.retiredRanges)
        ranges.emplace_back(rangeToJson(entry.second));
    object["retired_ranges"] = std::move(ranges);
    json::array writers;
    for (const std::pair<const Writer, WriterProgress>& entry : state.writers)
        writers.emplace_back(progressToJson(entry.first, entry.second));
    object["writers"] = std::move(writers);
    return object;
}

json::object recordToJson(const ConfigurationRecord& record)
{
    json::object object = headerToJson(record.header, "configuration");
    object["base"] = record.base;
    object["text"] = record.text;
    return object;
}

json::object recordToJson(const AssignmentRecord& record)
{
    json::object object = headerToJson(record.header, "assignment");
    object["pool"] = record.pool.value;
    object["based_on"] = record.basedOn;
    object["dispatcher"] = vmStartToJson(record.dispatcher);
    object["successor"] = vmStartToJson(record.successor);
    object["upstreams"] = upstreamsToJson(record.upstreams);
    object["shards"] = shardsToJson(record.shards);
    return object;
}

json::object recordToJson(const SettledRecord& record)
{
    json::object object = headerToJson(record.header, "settled");
    object["pool"] = record.pool.value;
    object["token"] = record.token;
    object["by"] = vmStartToJson(record.by);
    return object;
}

json::object recordToJson(const CheckpointRecord& record)
{
    json::object object = headerToJson(record.header, "checkpoint");
    object["state"] = stateToJson(record.state);
    return object;
}

} // namespace Internal

std::string encodeRecord(const RecordVariant& record)
{
    return std::visit(
        [](const auto& alternative) { return boost::json::serialize(Internal::recordToJson(alternative)); },
        record);
}

} // namespace Agreement
