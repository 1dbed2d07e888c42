#pragma once

#include <wire/peermessage.h>
#include <wire/wireerror.h>

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// Frames of a data link: a length and a FlatBuffers message.
namespace Wire {

/// The message as one frame, its length included.
std::string encodePeerMessage(const PeerMessage& message);

/// The length of the frame that \a prefix announces. \a prefix has frameLengthBytes bytes.
/// Errors: FrameEmpty, FrameTooLong.
boost::leaf::result<std::uint32_t> decodeFrameLength(std::string_view prefix);

/// The message in \a frame, given without its length. Never reads outside \a frame.
/// Errors: FrameMalformed, UnknownMessage, UnknownReason, ValueOutOfRange.
boost::leaf::result<PeerMessage> decodePeerMessage(std::string_view frame);

} // namespace Wire
