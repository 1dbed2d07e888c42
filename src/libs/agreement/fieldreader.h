#pragma once

#include <agreement/codecerror.h>

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// Strict access to the fields of a JSON object; each failure is a CodecError with a FaultyField.
namespace Agreement::Internal {

/// Fails when \a object has a field that is not among \a names.
boost::leaf::result<void> checkFields(
    const boost::json::object& object, std::initializer_list<std::string_view> names);

boost::leaf::result<const boost::json::object*> objectField(
    const boost::json::object& object, std::string_view name);

boost::leaf::result<const boost::json::array*> arrayField(
    const boost::json::object& object, std::string_view name);

boost::leaf::result<std::uint64_t> numberField(const boost::json::object& object, std::string_view name);

/// Text of at most \a maxBytes bytes.
boost::leaf::result<std::string> textField(
    const boost::json::object& object, std::string_view name, std::size_t maxBytes);

/// A whole number that is not negative.
boost::leaf::result<std::uint64_t> toNumber(const boost::json::value& value, std::string_view name);

boost::leaf::result<std::string> toText(
    const boost::json::value& value, std::string_view name, std::size_t maxBytes);

boost::leaf::result<const boost::json::object*> toObject(
    const boost::json::value& value, std::string_view name);

/// The error of a field that is missing or wrong.
boost::leaf::error_id badField(std::string_view name);

} // namespace Agreement::Internal
