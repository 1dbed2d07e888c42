#pragma once

#include <relay/loadframe.h>
#include <relay/terminationframe.h>
#include <relay/subscription.h>
#include <relay/update.h>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// Frames on a TCP stream: four bytes of length, big-endian, then a FlatBuffer. If the length's highest bit
/// is set the FlatBuffer is deflated, and follows the four bytes of its own length.
namespace Relay {

using Frame = std::variant<Subscription, Update, LoadFrame, TerminationFrame>;

/// A frame may hold all reports and a large configuration.
inline constexpr std::size_t maxFrameBytes = std::size_t(16) << 20;
/// Longer frames are deflated: a configuration of a thousand routes shrinks to about a seventh.
inline constexpr std::size_t maxUncompressedFrameBytes = 2048;

std::string encodeFrame(const Frame& frame);

/// Takes the first whole frame off \a stream; nothing while it is not whole. Fails with a RelayError.
boost::leaf::result<std::optional<Frame>> extractFrame(std::string& stream);

} // namespace Relay
