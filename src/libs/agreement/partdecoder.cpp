#include <agreement/agreementconstants.h>
#include <agreement/fieldreader.h>
#include <agreement/partdecoder.h>

#include <optional>
#include <string>

namespace Agreement::Internal {

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

} // namespace Agreement::Internal
