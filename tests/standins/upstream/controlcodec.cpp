#include <standins/upstream/controlcodec.h>

#include <standins/journal/jsonfields.h>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace StandInUpstream {

namespace Internal {

std::optional<boost::json::object> objectFrom(std::string_view body)
{
    boost::system::error_code error;
    boost::json::value parsed = boost::json::parse(body, error);
    if (error || !parsed.is_object())
        return std::nullopt;
    return std::move(parsed.get_object());
}

template <typename Number>
bool takeNumber(const boost::json::object& object, std::string_view name, Number& number)
{
    const boost::json::value* field = object.if_contains(name);
    if (field == nullptr)
        return false;
    boost::system::error_code error;
    number = field->to_number<Number>(error);
    return !error;
}

bool takeLevel(const boost::json::object& object, Ownership::GrantLevel& level)
{
    return takeNumber(object, "token", level.token) && takeNumber(object, "epoch", level.epoch);
}

bool takeShards(const boost::json::object& object, std::set<Utils::ShardId>& shards)
{
    const boost::json::value* field = object.if_contains("shards");
    if (field == nullptr || !field->is_array())
        return false;
    for (const boost::json::value& shard : field->get_array()) {
        if (!shard.is_string())
            return false;
        shards.insert(Utils::ShardId { std::string(shard.get_string()) });
    }
    return true;
}

} // namespace Internal

std::optional<Ownership::GrantRequest> grantFrom(std::string_view body)
{
    const std::optional<boost::json::object> object = Internal::objectFrom(body);
    if (!object)
        return std::nullopt;
    Ownership::GrantRequest grant;
    const bool complete = Internal::takeLevel(*object, grant.level)
        && Internal::takeNumber(*object, "incarnation", grant.incarnation)
        && Internal::takeNumber(*object, "sequence", grant.sequence)
        && Internal::takeNumber(*object, "expires_at_us", grant.expiresAt)
        && Internal::takeShards(*object, grant.shards);
    if (!complete)
        return std::nullopt;
    return grant;
}

std::optional<Ownership::FenceRequest> fenceFrom(std::string_view body)
{
    const std::optional<boost::json::object> object = Internal::objectFrom(body);
    if (!object)
        return std::nullopt;
    Ownership::FenceRequest fence;
    const bool complete = Internal::takeLevel(*object, fence.level)
        && Internal::takeNumber(*object, "incarnation", fence.incarnation);
    if (!complete)
        return std::nullopt;
    return fence;
}

std::optional<std::string> cancelFrom(std::string_view body)
{
    const std::optional<boost::json::object> object = Internal::objectFrom(body);
    if (!object)
        return std::nullopt;
    std::string request = Journal::stringField(*object, "request");
    if (request.empty())
        return std::nullopt;
    return request;
}

std::string toJson(const Ownership::HolderResponse& answer)
{
    boost::json::object object;
    object["verdict"] = Utils::enumName(Ownership::holderVerdictNames, answer.verdict);
    object["incarnation"] = answer.incarnation;
    object["clock_us"] = answer.clock;
    object["token"] = answer.level.token;
    object["epoch"] = answer.level.epoch;
    object["held_until_us"] = answer.heldUntil;
    boost::json::array shards;
    for (const Utils::ShardId& shard : answer.shards)
        shards.emplace_back(shard.value);
    object["shards"] = std::move(shards);
    return boost::json::serialize(object);
}

} // namespace StandInUpstream
