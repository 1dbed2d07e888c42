#include <agreement/agreementconstants.h>
#include <agreement/fieldreader.h>
#include <agreement/recordcodec.h>

#include <boost/json.hpp>

namespace Agreement {

namespace Internal {

namespace json = boost::json;
namespace leaf = boost::leaf;

leaf::result<Writer> writerFromJson(const json::object& object)
{
    BOOST_LEAF_CHECK(checkFields(object, { "kind", "name", "incarnation" }));
    BOOST_LEAF_ASSIGN(const std::string kindName, textField(object, "kind", maxNameBytes));
    const std::optional<WriterKind> kind = Utils::enumFromName(writerKindNames, kindName);
    if (!kind)
        return badField("kind");
    Writer writer;
    writer.kind = *kind;
    BOOST_LEAF_ASSIGN(writer.name, textField(object, "name", maxNameBytes));
    BOOST_LEAF_ASSIGN(writer.incarnation, numberField(object, "incarnation"));
    if (writer.name.empty())
        return badField("name");
    return writer;
}

leaf::result<RecordHeader> headerFromJson(const json::object& object)
{
    RecordHeader header;
    BOOST_LEAF_ASSIGN(const json::object* const writer, objectField(object, "writer"));
    BOOST_LEAF_ASSIGN(header.writer, writerFromJson(*writer));
    BOOST_LEAF_ASSIGN(header.sequence, numberField(object, "sequence"));
    if (header.sequence == 0)
        return badField("sequence");
    return header;
}

leaf::result<VmStart> vmStartFromJson(const json::object& parent, std::string_view name)
{
    BOOST_LEAF_ASSIGN(const json::object* const object, objectField(parent, name));
    BOOST_LEAF_CHECK(checkFields(*object, { "vm", "incarnation" }));
    VmStart start;
    BOOST_LEAF_ASSIGN(start.vm.value, textField(*object, "vm", maxNameBytes));
    BOOST_LEAF_ASSIGN(start.incarnation, numberField(*object, "incarnation"));
    return start;
}

leaf::result<std::map<Utils::UpstreamId, Utils::Incarnation>> upstreamsFromJson(const json::object& parent)
{
    BOOST_LEAF_ASSIGN(const json::object* const object, objectField(parent, "upstreams"));
    std::map<Utils::UpstreamId, Utils::Incarnation> upstreams;
    for (const json::key_value_pair& field : *object) {
        if (field.key().empty() || field.key().size() > maxNameBytes)
            return badField("upstreams");
        BOOST_LEAF_ASSIGN(const std::uint64_t incarnation, toNumber(field.value(), "upstreams"));
        upstreams[Utils::UpstreamId { std::string(field.key()) }] = incarnation;
    }
    return upstreams;
}

leaf::result<ShardAssignment> shardFromJson(const json::value& value)
{
    const json::array* const holders = value.if_array();
    if (!holders || holders->size() != 2)
        return badField("shards");
    ShardAssignment shard;
    BOOST_LEAF_ASSIGN(shard.owner.value, toText((*holders)[0], "shards", maxNameBytes));
    BOOST_LEAF_ASSIGN(shard.standby.value, toText((*holders)[1], "shards", maxNameBytes));
    return shard;
}

leaf::result<std::map<Utils::ShardId, ShardAssignment>> shardsFromJson(const json::object& parent)
{
    BOOST_LEAF_ASSIGN(const json::object* const object, objectField(parent, "shards"));
    std::map<Utils::ShardId, ShardAssignment> shards;
    for (const json::key_value_pair& field : *object) {
        if (field.key().empty() || field.key().size() > maxNameBytes)
            return badField("shards");
        BOOST_LEAF_ASSIGN(shards[Utils::ShardId { std::string(field.key()) }], shardFromJson(field.value()));
    }
    return shards;
}

/// Reads the fields that a former and a present assignment share.
template <typename Assignment>
leaf::result<void> readAssignment(Assignment& assignment, const json::object& object)
{
    BOOST_LEAF_ASSIGN(assignment.token, numberField(object, "token"));
    BOOST_LEAF_ASSIGN(assignment.dispatcher, vmStartFromJson(object, "dispatcher"));
    BOOST_LEAF_ASSIGN(assignment.successor, vmStartFromJson(object, "successor"));
    BOOST_LEAF_ASSIGN(assignment.upstreams, upstreamsFromJson(object));
    BOOST_LEAF_ASSIGN(assignment.shards, shardsFromJson(object));
    if (assignment.token == 0)
        return badField("token");
    return {};
}

leaf::result<FormerAssignment> formerFromJson(const json::value& value)
{
    BOOST_LEAF_ASSIGN(const json::object* const object, toObject(value, "formers"));
    BOOST_LEAF_CHECK(checkFields(*object, { "token", "dispatcher", "successor", "upstreams", "shards" }));
    FormerAssignment former;
    BOOST_LEAF_CHECK(readAssignment(former, *object));
    return former;
}

leaf::result<PoolAssignment> assignmentFromJson(const json::value& value)
{
    BOOST_LEAF_ASSIGN(const json::object* const object, toObject(value, "assignments"));
    BOOST_LEAF_CHECK(checkFields(
        *object, { "pool", "token", "dispatcher", "successor", "upstreams", "shards", "formers" }));
    PoolAssignment assignment;
    BOOST_LEAF_ASSIGN(assignment.pool.value, textField(*object, "pool", maxNameBytes));
    BOOST_LEAF_CHECK(readAssignment(assignment, *object));
    BOOST_LEAF_ASSIGN(const json::array* const formers, arrayField(*object, "formers"));
    if (formers->size() > maxFormers)
        return badField("formers");
    for (const json::value& former : *formers) {
        BOOST_LEAF_ASSIGN(FormerAssignment read, formerFromJson(former));
        assignment.formers.push_back(std::move(read));
    }
    return assignment;
}

leaf::result<std::map<Utils::PoolId, PoolAssignment>> assignmentsFromJson(const json::object& parent)
{
    BOOST_LEAF_ASSIGN(const json::array* const array, arrayField(parent, "assignments"));
    std::map<Utils::PoolId, PoolAssignment> assignments;
    for (const json::value& value : *array) {
        BOOST_LEAF_ASSIGN(PoolAssignment assignment, assignmentFromJson(value));
        const Utils::PoolId pool = assignment.pool;
        if (pool.value.empty() || !assignments.emplace(pool, std::move(assignment)).second)
            return badField("assignments");
    }
    return assignments;
}

leaf::result<std::map<Writer, WriterProgress>> writersFromJson(const json::object& parent)
{
    BOOST_LEAF_ASSIGN(const json::array* const array, arrayField(parent, "writers"));
    if (array->size() > maxWriters)
        return badField("writers");
    std::map<Writer, WriterProgress> writers;
    for (const json::value& value : *array) {
        BOOST_LEAF_ASSIGN(const json::object* const object, toObject(value, "writers"));
        BOOST_LEAF_CHECK(checkFields(*object, { "writer", "sequence", "offset" }));
        BOOST_LEAF_ASSIGN(const json::object* const name, objectField(*object, "writer"));
        BOOST_LEAF_ASSIGN(const Writer writer, writerFromJson(*name));
        WriterProgress& progress = writers[writer];
        BOOST_LEAF_ASSIGN(progress.sequence, numberField(*object, "sequence"));
        BOOST_LEAF_ASSIGN(progress.offset, numberField(*object, "offset"));
    }
    return writers;
}

leaf::result<AgreedState> stateFromJson(const json::object& object)
{
    BOOST_LEAF_CHECK(checkFields(object,
        { "applied", "checkpoint", "configuration_offset", "configuration", "assignments", "writers" }));
    AgreedState state;
    BOOST_LEAF_ASSIGN(state.applied, numberField(object, "applied"));
    BOOST_LEAF_ASSIGN(state.checkpoint, numberField(object, "checkpoint"));
    BOOST_LEAF_ASSIGN(state.configurationOffset, numberField(object, "configuration_offset"));
    BOOST_LEAF_ASSIGN(state.configurationText, textField(object, "configuration", maxRecordBytes));
    BOOST_LEAF_ASSIGN(state.assignments, assignmentsFromJson(object));
    BOOST_LEAF_ASSIGN(state.writers, writersFromJson(object));
    return state;
}

leaf::result<RecordVariant> configurationRecordFromJson(const json::object& object)
{
    BOOST_LEAF_CHECK(checkFields(object, { "v", "kind", "writer", "sequence", "base", "text" }));
    ConfigurationRecord record;
    BOOST_LEAF_ASSIGN(record.header, headerFromJson(object));
    BOOST_LEAF_ASSIGN(record.base, numberField(object, "base"));
    BOOST_LEAF_ASSIGN(record.text, textField(object, "text", maxRecordBytes));
    return RecordVariant(std::move(record));
}

leaf::result<RecordVariant> assignmentRecordFromJson(const json::object& object)
{
    BOOST_LEAF_CHECK(checkFields(object,
        { "v", "kind", "writer", "sequence", "pool", "based_on", "dispatcher", "successor", "upstreams",
            "shards" }));
    AssignmentRecord record;
    BOOST_LEAF_ASSIGN(record.header, headerFromJson(object));
    BOOST_LEAF_ASSIGN(record.pool.value, textField(object, "pool", maxNameBytes));
    BOOST_LEAF_ASSIGN(record.basedOn, numberField(object, "based_on"));
    BOOST_LEAF_ASSIGN(record.dispatcher, vmStartFromJson(object, "dispatcher"));
    BOOST_LEAF_ASSIGN(record.successor, vmStartFromJson(object, "successor"));
    BOOST_LEAF_ASSIGN(record.upstreams, upstreamsFromJson(object));
    BOOST_LEAF_ASSIGN(record.shards, shardsFromJson(object));
    return RecordVariant(std::move(record));
}

leaf::result<RecordVariant> settledRecordFromJson(const json::object& object)
{
    BOOST_LEAF_CHECK(checkFields(object, { "v", "kind", "writer", "sequence", "pool", "token", "by" }));
    SettledRecord record;
    BOOST_LEAF_ASSIGN(record.header, headerFromJson(object));
    BOOST_LEAF_ASSIGN(record.pool.value, textField(object, "pool", maxNameBytes));
    BOOST_LEAF_ASSIGN(record.token, numberField(object, "token"));
    BOOST_LEAF_ASSIGN(record.by, vmStartFromJson(object, "by"));
    return RecordVariant(std::move(record));
}

leaf::result<RecordVariant> checkpointRecordFromJson(const json::object& object)
{
    BOOST_LEAF_CHECK(checkFields(object, { "v", "kind", "writer", "sequence", "state" }));
    CheckpointRecord record;
    BOOST_LEAF_ASSIGN(record.header, headerFromJson(object));
    BOOST_LEAF_ASSIGN(const json::object* const state, objectField(object, "state"));
    BOOST_LEAF_ASSIGN(record.state, stateFromJson(*state));
    return RecordVariant(std::move(record));
}

leaf::result<RecordVariant> recordFromJson(const json::object& object)
{
    BOOST_LEAF_ASSIGN(const std::uint64_t version, numberField(object, "v"));
    if (version != recordVersion)
        return leaf::new_error(CodecError::UnknownVersion);
    BOOST_LEAF_ASSIGN(const std::string kind, textField(object, "kind", maxNameBytes));
    if (kind == "configuration")
        return configurationRecordFromJson(object);
    if (kind == "assignment")
        return assignmentRecordFromJson(object);
    if (kind == "settled")
        return settledRecordFromJson(object);
    if (kind == "checkpoint")
        return checkpointRecordFromJson(object);
    return leaf::new_error(CodecError::UnknownKind);
}

} // namespace Internal

boost::leaf::result<RecordVariant> decodeRecord(std::string_view text)
{
    if (text.size() > maxRecordBytes)
        return boost::leaf::new_error(CodecError::TooLarge);
    boost::json::error_code failure;
    const boost::json::value value = boost::json::parse(text, failure);
    if (failure == boost::json::error::incomplete)
        return boost::leaf::new_error(CodecError::Truncated);
    if (failure)
        return boost::leaf::new_error(CodecError::NotJson);
    BOOST_LEAF_ASSIGN(const boost::json::object* const object, Internal::toObject(value, "record"));
    return Internal::recordFromJson(*object);
}

} // namespace Agreement
