#include <agreement/faultyfield.h>
#include <agreement/fieldreader.h>

#include <algorithm>

namespace Agreement::Internal {

namespace json = boost::json;
namespace leaf = boost::leaf;

leaf::error_id badField(std::string_view name)
{
    return leaf::new_error(CodecError::BadField, FaultyField { std::string(name) });
}

leaf::result<void> checkFields(const json::object& object, std::initializer_list<std::string_view> names)
{
    for (const json::key_value_pair& field : object) {
        const std::string_view key(field.key().data(), field.key().size());
        if (std::find(names.begin(), names.end(), key) == names.end())
            return leaf::new_error(CodecError::UnknownField, FaultyField { std::string(key) });
    }
    return {};
}

leaf::result<std::uint64_t> toNumber(const json::value& value, std::string_view name)
{
    if (value.is_uint64())
        return value.get_uint64();
    if (value.is_int64() && value.get_int64() >= 0)
        return static_cast<std::uint64_t>(value.get_int64());
    return badField(name);
}

leaf::result<std::string> toText(const json::value& value, std::string_view name, std::size_t maxBytes)
{
    const json::string* const text = value.if_string();
    if (!text || text->size() > maxBytes)
        return badField(name);
    return std::string(text->data(), text->size());
}

leaf::result<const json::object*> toObject(const json::value& value, std::string_view name)
{
    const json::object* const found = value.if_object();
    if (!found)
        return badField(name);
    return found;
}

leaf::result<const json::object*> objectField(const json::object& object, std::string_view name)
{
    const json::value* const value = object.if_contains(name);
    if (!value)
        return badField(name);
    return toObject(*value, name);
}

leaf::result<const json::array*> arrayField(const json::object& object, std::string_view name)
{
    const json::value* const value = object.if_contains(name);
    if (!value || !value->is_array())
        return badField(name);
    return value->if_array();
}

leaf::result<std::uint64_t> numberField(const json::object& object, std::string_view name)
{
    const json::value* const value = object.if_contains(name);
    if (!value)
        return badField(name);
    return toNumber(*value, name);
}

leaf::result<std::string> textField(const json::object& object, std::string_view name, std::size_t maxBytes)
{
    const json::value* const value = object.if_contains(name);
    if (!value)
        return badField(name);
    return toText(*value, name, maxBytes);
}

} // namespace Agreement::Internal
