#pragma once

#include <gateway/controlstate.h>
#include <wire/controlmessage.h>

#include <boost/asio/awaitable.hpp>

/// Control datagrams between instances.
namespace Gateway {

/// Sends a datagram to \a vm, if its place is known; it may be lost like any other.
void sendDatagram(ControlState& state, const Utils::VmId& vm, const Wire::ControlMessage& message);

/// Receives datagrams until the socket is closed.
boost::asio::awaitable<void> receiveDatagrams(ControlState& state);

/// Sends heartbeats when they are due.
void sendHeartbeats(ControlState& state);

} // namespace Gateway
