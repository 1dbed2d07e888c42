#pragma once

#include <routing/upstreamrecord.h>

#include <boost/leaf/result.hpp>

#include <string_view>

namespace Platform {

/// Decodes the entry that a server keeps under \a id. Fails with a DecodeError and the FieldName; such an
/// entry names no upstream to use. "status.seq_no" counts reports of one start, and says nothing across
/// starts.
boost::leaf::result<Routing::UpstreamRecord> decodeUpstream(std::string_view id, std::string_view text);

} // namespace Platform
