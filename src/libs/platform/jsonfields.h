#pragma once

#include <utils/time.h>

#include <boost/json.hpp>
#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// Checked access to JSON fields. Each function fails with a DecodeError and, except for a malformed
/// duration, the FieldName.
namespace Platform::Internal {

/// Which bytes the strings of a text may contain.
enum class TextEncoding {
    Utf8,
    AnyBytes,
};

boost::leaf::result<boost::json::object> parseObject(
    std::string_view text, TextEncoding encoding = TextEncoding::Utf8);

boost::leaf::result<const boost::json::object*> readObject(
    const boost::json::object& object, std::string_view name);

boost::leaf::result<const boost::json::array*> readArray(
    const boost::json::object& object, std::string_view name);

/// Fails if the string is empty.
boost::leaf::result<std::string> readString(const boost::json::object& object, std::string_view name);

/// Fails if the field is no integer or is negative.
boost::leaf::result<std::uint64_t> readUnsigned(const boost::json::object& object, std::string_view name);

/// Returns 0 if the field is absent. Fails if it is no number, negative or not finite.
boost::leaf::result<double> readAmount(const boost::json::object& object, std::string_view name);

boost::leaf::result<Utils::Duration> readDuration(const boost::json::object& object, std::string_view name);

/// Returns false if the field is absent.
boost::leaf::result<bool> readFlag(const boost::json::object& object, std::string_view name);

} // namespace Platform::Internal
