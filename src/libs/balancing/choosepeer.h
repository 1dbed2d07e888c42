#pragma once

#include <balancing/peerload.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Balancing {

/// How long a VM that can't help is not asked again; a small part of the second within which all is served
/// after the links are back.
inline constexpr Utils::Duration peerAvoidance = std::chrono::milliseconds(500);

/// Returns the VM to hand a request to, or nothing if none may be used now.
///
/// Load pattern: some VMs, up to all of an availability zone, are partitioned from all upstreams and hand
/// their requests to the others. VMs nearby come first, as responses may be large, but the requests spread
/// over all VMs at equal distance, and to other zones before one VM gets very many. \param peers by address.
std::optional<std::string> choosePeer(
    const std::map<std::string, PeerLoad>& peers, std::uint64_t seed, Utils::Instant now);

} // namespace Balancing
