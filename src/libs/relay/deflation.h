#pragma once

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace Relay::Internal {

/// Compresses \a bytes with DEFLATE.
std::string deflateBytes(std::string_view bytes);

/// Decompresses \a deflated. Fails with RelayError::Malformed unless this gives exactly \a size bytes.
boost::leaf::result<std::string> inflateBytes(std::string_view deflated, std::size_t size);

} // namespace Relay::Internal
