#include <agreement/agreementconstants.h>
#include <agreement/fieldreader.h>
#include <agreement/partdecoder.h>
#include <agreement/recordcodec.h>
#include <agreement/statedecoder.h>

#include <boost/json.hpp>

namespace Agreement {

namespace Internal {

namespace json = boost::json;
namespace leaf = boost::leaf;

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
