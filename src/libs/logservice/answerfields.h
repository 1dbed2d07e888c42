#pragma once

#include <logservice/httpanswer.h>

#include <boost/json.hpp>
#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// Checked access to the JSON of an answer; each failure is PlatformError::Malformed. Fields that the
/// contract does not name are passed over.
namespace LogService::Internal {

boost::leaf::result<boost::json::object> parseAnswer(const HttpAnswer& answer);

boost::leaf::result<std::uint64_t> numberIn(const boost::json::object& object, std::string_view name);

/// Text of 1 to \a maxBytes bytes.
boost::leaf::result<std::string> nameIn(
    const boost::json::object& object, std::string_view name, std::size_t maxBytes);

boost::leaf::result<const boost::json::array*> arrayIn(
    const boost::json::object& object, std::string_view name);

} // namespace LogService::Internal
