#pragma once

#include <routing/upstreamrecord.h>

#include <boost/leaf/result.hpp>

#include <string_view>

namespace Platform {

/// Decodes the record that a server publishes under the key \a id. Fails with a DecodeError and, except for a
/// malformed address or duration, the FieldName. "status.seq_no" counts the reports since the server's start,
/// so values from different starts are not comparable.
boost::leaf::result<Routing::UpstreamRecord> decodeUpstream(std::string_view id, std::string_view text);

} // namespace Platform
