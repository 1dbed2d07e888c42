#pragma once

#include <granting/loadreport.h>

#include <boost/leaf/result.hpp>

#include <span>
#include <string>

namespace Granting {

std::string encodeReport(const LoadReport& report);

/// Fails with RecordError::Unreadable.
boost::leaf::result<LoadReport> decodeReport(std::span<const char> datagram);

} // namespace Granting
