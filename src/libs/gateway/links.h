#pragma once

#include <gateway/networkstate.h>
#include <wire/peermessage.h>

#include <boost/asio/awaitable.hpp>

/// Data links between instances.
namespace Gateway {

/// Accepts links on the peer port until the socket is closed.
boost::asio::awaitable<void> acceptLinks(NetworkState& state);

/// The open or opening link to \a vm; null when the VM's place is not known.
std::shared_ptr<PeerLink> linkTo(NetworkState& state, const Utils::VmId& vm);

/// Queues \a message; a link whose queue overflows is closed.
void sendOnLink(NetworkState& state, PeerLink& link, const Wire::PeerMessage& message);

/// Closes a link and tells everyone who waits for it.
void closeLink(NetworkState& state, const LinkId& id);

} // namespace Gateway
