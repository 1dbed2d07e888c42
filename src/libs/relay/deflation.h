#pragma once

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace Relay::Internal {

/// \a bytes, deflated.
std::string deflateBytes(std::string_view bytes);

/// The \a size bytes that were deflated to \a deflated. Fails with RelayError::Malformed.
boost::leaf::result<std::string> inflateBytes(std::string_view deflated, std::size_t size);

} // namespace Relay::Internal
