#pragma once

#include <platform/decodeerror.h>

#include <boost/leaf.hpp>

#include <optional>

/// Helpers for tests of decoders.
namespace PlatformTest {

/// Returns the error with which \a decode fails, or nothing if it succeeds.
template <typename Decode> std::optional<Platform::DecodeError> decodeErrorOf(Decode decode)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Platform::DecodeError>> {
            BOOST_LEAF_CHECK(decode());
            return std::optional<Platform::DecodeError>();
        },
        [](Platform::DecodeError error) { return std::optional<Platform::DecodeError>(error); },
        []() { return std::optional<Platform::DecodeError>(Platform::DecodeError::Unreadable); });
}

} // namespace PlatformTest
