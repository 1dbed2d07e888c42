#include <platform/decodeerror.h>
#include <platform/fieldname.h>
#include <platform/jsonfields.h>
#include <platform/timetext.h>

#include <boost/leaf/error.hpp>

#include <cmath>

namespace Platform::Internal {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

leaf::error_id makeError(DecodeError error, std::string_view name)
{
    return leaf::new_error(error, FieldName { std::string(name) });
}

leaf::result<const json::value*> findField(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    if (!value)
        return makeError(DecodeError::MissingField, name);
    return value;
}

} // namespace

leaf::result<json::object> parseObject(std::string_view text, TextEncoding encoding)
{
    json::error_code error;
    json::parse_options options;
    options.allow_invalid_utf8 = encoding == TextEncoding::AnyBytes;
    json::value value
        = json::parse(json::string_view(text.data(), text.size()), error, json::storage_ptr(), options);
    if (error || !value.is_object())
        return makeError(DecodeError::Unreadable, "");
    return std::move(value.get_object());
}

leaf::result<const json::object*> readObject(const json::object& object, std::string_view name)
{
    BOOST_LEAF_AUTO(value, findField(object, name));
    if (!value->is_object())
        return makeError(DecodeError::WrongType, name);
    return &value->get_object();
}

leaf::result<const json::array*> readArray(const json::object& object, std::string_view name)
{
    BOOST_LEAF_AUTO(value, findField(object, name));
    if (!value->is_array())
        return makeError(DecodeError::WrongType, name);
    return &value->get_array();
}

leaf::result<std::string> readString(const json::object& object, std::string_view name)
{
    BOOST_LEAF_AUTO(value, findField(object, name));
    if (!value->is_string())
        return makeError(DecodeError::WrongType, name);
    if (value->get_string().empty())
        return makeError(DecodeError::OutOfRange, name);
    return std::string(value->get_string());
}

leaf::result<std::uint64_t> readUnsigned(const json::object& object, std::string_view name)
{
    BOOST_LEAF_AUTO(value, findField(object, name));
    if (value->is_uint64())
        return value->get_uint64();
    if (!value->is_int64())
        return makeError(DecodeError::WrongType, name);
    if (value->get_int64() < 0)
        return makeError(DecodeError::OutOfRange, name);
    return static_cast<std::uint64_t>(value->get_int64());
}

leaf::result<double> readAmount(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    if (!value)
        return 0.0;
    if (!value->is_number())
        return makeError(DecodeError::WrongType, name);
    const double amount = value->to_number<double>();
    if (!std::isfinite(amount) || amount < 0)
        return makeError(DecodeError::OutOfRange, name);
    return amount;
}

leaf::result<Utils::Duration> readDuration(const json::object& object, std::string_view name)
{
    BOOST_LEAF_AUTO(text, readString(object, name));
    return parseDuration(text);
}

leaf::result<bool> readFlag(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    if (!value)
        return false;
    if (!value->is_bool())
        return makeError(DecodeError::WrongType, name);
    return value->get_bool();
}

} // namespace Platform::Internal
