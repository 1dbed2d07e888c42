#pragma once

#include <platform/decodeerror.h>

#include <boost/leaf.hpp>

#include <optional>

/// Helpers for tests of decoders.
namespace PlatformTest {

/// The error with which \a decode fails; nothing if it succeeds.
template <typename Decode> std::optional<Platform::DecodeError> errorOf(Decode decode)
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
