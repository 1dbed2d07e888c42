#pragma once

#include <routing/configuration.h>

#include <boost/leaf/result.hpp>

#include <string_view>

namespace Platform {

/// Decodes the operator's record. Fails with a DecodeError and the FieldName.
/// Names on the wire that say little: "listeners" are hosts with their rules, "clusters" are services,
/// "action" holds destinations as well as limits, and "limits.header" is a time while "limits.header_bytes"
/// is a size.
boost::leaf::result<Routing::Configuration> decodeConfiguration(std::string_view text);

} // namespace Platform
