#include <standins/journal/upstreamrow.h>

#include <standins/journal/jsonfields.h>

#include <boost/json/array.hpp>

namespace Journal {

namespace Internal {

void addText(boost::json::object& object, std::string_view name, const std::string& text)
{
    if (!text.empty())
        object[name] = text;
}

boost::json::array shardNames(const std::set<Utils::ShardId>& shards)
{
    boost::json::array names;
    for (const Utils::ShardId& shard : shards)
        names.emplace_back(shard.value);
    return names;
}

std::set<Utils::ShardId> shardsField(const boost::json::object& object)
{
    std::set<Utils::ShardId> shards;
    const boost::json::value* field = object.if_contains("shards");
    if (field == nullptr || !field->is_array())
        return shards;
    for (const boost::json::value& name : field->get_array()) {
        if (name.is_string())
            shards.insert(Utils::ShardId { std::string(name.get_string()) });
    }
    return shards;
}

} // namespace Internal

boost::json::object toJson(const UpstreamRow& row)
{
    boost::json::object object;
    object["at_us"] = row.at;
    object["event"] = Utils::enumName(upstreamEventNames, row.event);
    object["upstream"] = row.upstream;
    object["incarnation"] = row.incarnation;
    if (row.level.token != 0) {
        object["token"] = row.level.token;
        object["epoch"] = row.level.epoch;
    }
    if (row.event == UpstreamEvent::GrantAccepted) {
        object["until_us"] = row.until;
        object["shards"] = Internal::shardNames(row.shards);
    }
    Internal::addText(object, "request", row.request);
    if (row.attempt != 0)
        object["attempt"] = row.attempt;
    Internal::addText(object, "request_id", row.requestId);
    Internal::addText(object, "idempotency_key", row.idempotencyKey);
    Internal::addText(object, "method", row.method);
    Internal::addText(object, "rank", row.rank);
    Internal::addText(object, "shard", row.shard.value);
    Internal::addText(object, "key", row.key);
    Internal::addText(object, "reason", row.reason);
    return object;
}

std::optional<UpstreamRow> upstreamRowFrom(const boost::json::object& object)
{
    const std::optional<UpstreamEvent> event
        = Utils::enumFromName(upstreamEventNames, stringField(object, "event"));
    if (!event)
        return std::nullopt;
    UpstreamRow row;
    row.at = numberField<std::int64_t>(object, "at_us");
    row.event = *event;
    row.upstream = stringField(object, "upstream");
    row.incarnation = numberField<Utils::Incarnation>(object, "incarnation");
    row.level.token = numberField<Utils::Offset>(object, "token");
    row.level.epoch = numberField<std::uint32_t>(object, "epoch");
    row.until = numberField<std::int64_t>(object, "until_us");
    row.shards = Internal::shardsField(object);
    row.request = stringField(object, "request");
    row.attempt = numberField<unsigned>(object, "attempt");
    row.requestId = stringField(object, "request_id");
    row.idempotencyKey = stringField(object, "idempotency_key");
    row.method = stringField(object, "method");
    row.rank = stringField(object, "rank");
    row.shard.value = stringField(object, "shard");
    row.key = stringField(object, "key");
    row.reason = stringField(object, "reason");
    return row;
}

} // namespace Journal
