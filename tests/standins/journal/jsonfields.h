#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>

/// Fields of JSON objects with a default for what is missing or of another kind.
namespace Journal {

inline std::string stringField(const boost::json::object& object, std::string_view name)
{
    const boost::json::value* field = object.if_contains(name);
    if (field == nullptr || !field->is_string())
        return {};
    return std::string(field->get_string());
}

template <typename Number>
Number numberField(const boost::json::object& object, std::string_view name, Number fallback = Number())
{
    const boost::json::value* field = object.if_contains(name);
    if (field == nullptr)
        return fallback;
    boost::system::error_code error;
    const Number number = field->to_number<Number>(error);
    return error ? fallback : number;
}

inline bool boolField(const boost::json::object& object, std::string_view name, bool fallback = false)
{
    const boost::json::value* field = object.if_contains(name);
    if (field == nullptr || !field->is_bool())
        return fallback;
    return field->get_bool();
}

} // namespace Journal
