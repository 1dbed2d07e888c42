#pragma once

#include <relay/crashreportframe.h>
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

/// Frames on a TCP stream: a big-endian length of four bytes, then a FlatBuffer of that many bytes. If the
/// highest bit of the length is set, the payload is the uncompressed length in four bytes and the compressed
/// FlatBuffer.
namespace Relay {

using Frame = std::variant<Subscription, Update, LoadFrame, TerminationFrame, CrashReportFrame>;

/// Large enough for all upstream reports and a large configuration in one frame.
inline constexpr std::size_t maxFrameBytes = std::size_t(16) << 20;
/// Longer frames are compressed: a configuration of a thousand routes shrinks to about a seventh.
inline constexpr std::size_t maxUncompressedFrameBytes = 2048;

std::string encodeFrame(const Frame& frame);

/// Removes the first frame from \a stream and returns it, or nothing if it has not been received completely.
/// Fails with a RelayError.
boost::leaf::result<std::optional<Frame>> extractFrame(std::string& stream);

} // namespace Relay
