#pragma once

#include <routing/configuration.h>

#include <boost/leaf/result.hpp>

#include <string_view>

namespace Platform {

/// Decodes the operator's configuration record. Fails with a DecodeError and, except for a malformed
/// duration, the FieldName.
///
/// Some names on the wire are misleading: "listeners" holds hosts with their routing rules, "clusters" holds
/// services, "action" holds destinations as well as limits, and "limits.header" is a timeout while
/// "limits.header_bytes" is a size.
boost::leaf::result<Routing::Configuration> decodeConfiguration(std::string_view text);

} // namespace Platform
