#pragma once

#include <boost/system/error_code.hpp>

#include <cstdint>

namespace StandInUpstream {

struct UpstreamServer;

/// Listens at the address of the settings and takes connections from then on.
boost::system::error_code startListening(UpstreamServer& server);

/// The port listened on.
std::uint16_t listeningPort(const UpstreamServer& server);

/// Takes no more work, and ends the run once what is in flight is answered.
void startStopping(UpstreamServer& server);

} // namespace StandInUpstream
