#include <gateway/holdercodec.h>

#include <boost/json.hpp>

#include <optional>

namespace Gateway {

namespace Internal {

namespace json = boost::json;
namespace leaf = boost::leaf;

template <typename Number> leaf::result<Number> numberField(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    if (value == nullptr)
        return leaf::new_error(HolderError::MissingField);
    boost::system::error_code error;
    const Number number = value->to_number<Number>(error);
    if (error)
        return leaf::new_error(HolderError::WrongType);
    return number;
}

leaf::result<Ownership::HolderVerdict> verdictField(const json::object& object)
{
    const json::value* value = object.if_contains("verdict");
    if (value == nullptr)
        return leaf::new_error(HolderError::MissingField);
    if (!value->is_string())
        return leaf::new_error(HolderError::WrongType);
    const std::optional<Ownership::HolderVerdict> verdict
        = Utils::enumFromName(Ownership::holderVerdictNames, std::string_view(value->get_string()));
    if (!verdict)
        return leaf::new_error(HolderError::UnknownVerdict);
    return *verdict;
}

leaf::result<std::set<Utils::ShardId>> shardsField(const json::object& object)
{
    const json::value* value = object.if_contains("shards");
    if (value == nullptr)
        return leaf::new_error(HolderError::MissingField);
    if (!value->is_array())
        return leaf::new_error(HolderError::WrongType);
    std::set<Utils::ShardId> shards;
    for (const json::value& entry : value->get_array()) {
        if (!entry.is_string())
            return leaf::new_error(HolderError::WrongType);
        shards.insert({ std::string(entry.get_string()) });
    }
    return shards;
}

} // namespace Internal

std::string encodeGrant(const Ownership::GrantRequest& request)
{
    boost::json::array shards;
    for (const Utils::ShardId& shard : request.shards)
        shards.emplace_back(shard.value);
    return boost::json::serialize(
        boost::json::object { { "token", request.level.token }, { "epoch", request.level.epoch },
            { "incarnation", request.incarnation }, { "sequence", request.sequence },
            { "expires_at_us", request.expiresAt }, { "shards", std::move(shards) } });
}

std::string encodeFence(const Ownership::FenceRequest& request)
{
    return boost::json::serialize(boost::json::object { { "token", request.level.token },
        { "epoch", request.level.epoch }, { "incarnation", request.incarnation } });
}

boost::leaf::result<Ownership::HolderResponse> decodeHolderAnswer(std::string_view text)
{
    boost::system::error_code error;
    const boost::json::value parsed = boost::json::parse(text, error);
    if (error || !parsed.is_object())
        return boost::leaf::new_error(HolderError::NotJson);
    const boost::json::object& object = parsed.get_object();
    Ownership::HolderResponse answer;
    BOOST_LEAF_ASSIGN(answer.verdict, Internal::verdictField(object));
    BOOST_LEAF_ASSIGN(answer.incarnation, Internal::numberField<Utils::Incarnation>(object, "incarnation"));
    BOOST_LEAF_ASSIGN(answer.clock, Internal::numberField<std::int64_t>(object, "clock_us"));
    BOOST_LEAF_ASSIGN(answer.level.token, Internal::numberField<Utils::Offset>(object, "token"));
    BOOST_LEAF_ASSIGN(answer.level.epoch, Internal::numberField<std::uint32_t>(object, "epoch"));
    BOOST_LEAF_ASSIGN(answer.heldUntil, Internal::numberField<std::int64_t>(object, "held_until_us"));
    BOOST_LEAF_ASSIGN(answer.shards, Internal::shardsField(object));
    return answer;
}

} // namespace Gateway
