#include <logservice/answerfields.h>
#include <logservice/platformerror.h>

#include <boost/leaf/error.hpp>

namespace LogService::Internal {

namespace json = boost::json;
namespace leaf = boost::leaf;

leaf::result<json::object> parseAnswer(const HttpAnswer& answer)
{
    json::error_code failure;
    json::value value = json::parse(answer.body, failure);
    if (failure || !value.is_object())
        return leaf::new_error(PlatformError::Malformed);
    return std::move(value.get_object());
}

leaf::result<std::uint64_t> numberIn(const json::object& object, std::string_view name)
{
    const json::value* const value = object.if_contains(name);
    if (value && value->is_uint64())
        return value->get_uint64();
    if (value && value->is_int64() && value->get_int64() >= 0)
        return static_cast<std::uint64_t>(value->get_int64());
    return leaf::new_error(PlatformError::Malformed);
}

leaf::result<std::string> nameIn(const json::object& object, std::string_view name, std::size_t maxBytes)
{
    const json::value* const value = object.if_contains(name);
    const json::string* const text = value ? value->if_string() : nullptr;
    if (!text || text->empty() || text->size() > maxBytes)
        return leaf::new_error(PlatformError::Malformed);
    return std::string(text->data(), text->size());
}

leaf::result<const json::array*> arrayIn(const json::object& object, std::string_view name)
{
    const json::value* const value = object.if_contains(name);
    if (!value || !value->is_array())
        return leaf::new_error(PlatformError::Malformed);
    return value->if_array();
}

} // namespace LogService::Internal
