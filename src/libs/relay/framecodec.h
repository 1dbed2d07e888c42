#pragma once

#include <relay/loadframe.h>
#include <relay/lossframe.h>
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

using Frame = std::variant<Subscription, Update, LoadFrame, LossFrame>;

/// A frame may hold all reports and a large configuration.
inline constexpr std::size_t mostFrameBytes = std::size_t(16) << 20;
/// Longer frames are deflated: a configuration of a thousand routes shrinks to about a seventh.
inline constexpr std::size_t plainFrameBytes = 2048;

std::string encodeFrame(const Frame& frame);

/// Takes the first whole frame off \a stream; nothing while it is not whole. Fails with a RelayError.
boost::leaf::result<std::optional<Frame>> takeFrame(std::string& stream);

} // namespace Relay
