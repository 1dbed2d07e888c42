#include <agreement/agreementconstants.h>
#include <agreement/fieldreader.h>
#include <agreement/partdecoder.h>
#include <agreement/statedecoder.h>

#include <limits>

namespace Agreement::Internal {

namespace json = boost::json;
namespace leaf = boost::leaf;

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
        *object, { "pool", "token", "dispatcher", "successor", "upstreams", "shards", "formers", "first" }));
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
    BOOST_LEAF_ASSIGN(assignment.first, numberField(*object, "first"));
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

leaf::result<Declarations::KeyRange> rangeFromJson(const json::value& value)
{
    BOOST_LEAF_ASSIGN(const json::object* const object, toObject(value, "retired_ranges"));
    BOOST_LEAF_CHECK(checkFields(*object, { "id", "service", "from", "to", "pool", "shards" }));
    Declarations::KeyRange range;
    BOOST_LEAF_ASSIGN(range.id.value, textField(*object, "id", maxNameBytes));
    BOOST_LEAF_ASSIGN(range.service.value, textField(*object, "service", maxNameBytes));
    BOOST_LEAF_ASSIGN(range.from, textField(*object, "from", maxRecordBytes));
    BOOST_LEAF_ASSIGN(range.pool.value, textField(*object, "pool", maxNameBytes));
    BOOST_LEAF_ASSIGN(const std::uint64_t shards, numberField(*object, "shards"));
    if (range.id.value.empty() || shards > std::numeric_limits<unsigned>::max())
        return badField("retired_ranges");
    range.shards = static_cast<unsigned>(shards);
    const json::value* const end = object->if_contains("to");
    if (!end)
        return badField("to");
    if (!end->is_null()) {
        BOOST_LEAF_ASSIGN(range.to, toText(*end, "to", maxRecordBytes));
    }
    return range;
}

leaf::result<std::map<Utils::KeyRangeId, Declarations::KeyRange>> rangesFromJson(const json::object& parent)
{
    BOOST_LEAF_ASSIGN(const json::array* const array, arrayField(parent, "retired_ranges"));
    std::map<Utils::KeyRangeId, Declarations::KeyRange> ranges;
    for (const json::value& value : *array) {
        BOOST_LEAF_ASSIGN(const Declarations::KeyRange range, rangeFromJson(value));
        if (!ranges.emplace(range.id, range).second)
            return badField("retired_ranges");
    }
    return ranges;
}

leaf::result<AgreedState> stateFromJson(const json::object& object)
{
    BOOST_LEAF_CHECK(checkFields(object,
        { "applied", "checkpoint", "configuration_offset", "configuration", "assignments", "retired_ranges",
            "writers" }));
    AgreedState state;
    BOOST_LEAF_ASSIGN(state.applied, numberField(object, "applied"));
    BOOST_LEAF_ASSIGN(state.checkpoint, numberField(object, "checkpoint"));
    BOOST_LEAF_ASSIGN(state.configurationOffset, numberField(object, "configuration_offset"));
    BOOST_LEAF_ASSIGN(state.configurationText, textField(object, "configuration", maxRecordBytes));
    BOOST_LEAF_ASSIGN(state.assignments, assignmentsFromJson(object));
    BOOST_LEAF_ASSIGN(state.retiredRanges, rangesFromJson(object));
    BOOST_LEAF_ASSIGN(state.writers, writersFromJson(object));
    return state;
}

} // namespace Agreement::Internal
