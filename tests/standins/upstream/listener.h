#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <cstdint>
#include <string>

namespace StandInUpstream {

struct UpstreamServer;

/// Listens at the address of the settings and takes connections from then on.
boost::system::error_code startListening(UpstreamServer& server);

/// The port listened on.
std::uint16_t listeningPort(const UpstreamServer& server);

/// Takes no more work, and ends the run once what is in flight is answered.
void startStopping(UpstreamServer& server);

/// The address in "IP:PORT".
boost::asio::ip::tcp::endpoint endpointFrom(const std::string& text, boost::system::error_code& error);

} // namespace StandInUpstream
