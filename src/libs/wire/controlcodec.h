#pragma once

#include <wire/controlmessage.h>
#include <wire/wireerror.h>

#include <boost/leaf.hpp>

#include <string>
#include <string_view>

/// Control datagrams: one FlatBuffers message each.
namespace Wire {

/// The message as one datagram.
std::string encodeControlMessage(const ControlMessage& message);

/// The message in \a datagram. Errors: FrameEmpty, FrameTooLong, FrameMalformed, UnknownMessage,
/// ValueOutOfRange.
boost::leaf::result<ControlMessage> decodeControlMessage(std::string_view datagram);

} // namespace Wire
