#pragma once

#include <utils/time.h>

#include <boost/json.hpp>
#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// Checked access to JSON fields. Each failure is a DecodeError with the FieldName.
namespace Platform::Internal {

boost::leaf::result<boost::json::object> parseObject(std::string_view text);

boost::leaf::result<const boost::json::object*> readObject(
    const boost::json::object& object, std::string_view name);

boost::leaf::result<const boost::json::array*> readArray(
    const boost::json::object& object, std::string_view name);

/// Text that is not empty.
boost::leaf::result<std::string> readString(const boost::json::object& object, std::string_view name);

/// A whole number from 0 on.
boost::leaf::result<std::uint64_t> readUnsigned(const boost::json::object& object, std::string_view name);

boost::leaf::result<Utils::Duration> readDuration(const boost::json::object& object, std::string_view name);

/// False where the field is absent.
boost::leaf::result<bool> readFlag(const boost::json::object& object, std::string_view name);

} // namespace Platform::Internal
