#pragma once

#include <utils/ids.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The tree in which records reach the VMs of a large fleet: the leader serves some VMs, which relay to the
/// others.
///
/// Load pattern: the leader is lost during a change, and a VM with a tenth of a core and a link of 20 Mbit/s
/// succeeds it, as all that it served happened to be such VMs. Changes wait for seconds in its queues.
///
/// Load pattern: hundreds of VMs start together, or lose the leader together. A single VM that serves all of
/// them needs seconds of its link and of its share of a core for their first updates, and its heartbeats wait
/// behind them until the subscribers leave again.
namespace Relay {

/// Number of VMs that the leader serves itself. A fleet of at most this size has no relays.
inline constexpr std::size_t maxDirectSubscribers = 64;
/// Number of VMs that a relay serves; as many as the leader, so that two levels reach 4,096 VMs.
inline constexpr std::size_t maxRelaySubscribers = 64;

/// A VM that the leader serves and that can relay to others.
struct RelayCandidate {
    std::string address;
    Utils::ZoneId zone;
    std::size_t subscribers = 0;
    /// Share of a core, in percent.
    unsigned cpuPercent = 0;
    /// Bandwidth of the link in Mbit/s; 0 if it is not known.
    unsigned linkMegabits = 0;

    bool operator==(const RelayCandidate&) const = default;
};

/// The relay for a VM in \a zone: in the same availability zone or else in the same region if possible, and
/// with the fewest subscribers for its share of a core. Returns nothing if all candidates are full.
std::optional<std::string> chooseRelay(const std::vector<RelayCandidate>& candidates,
    const Utils::ZoneId& zone, const std::map<Utils::ZoneId, Utils::RegionId>& regionByZone);

/// What a VM can carry as the leader or as a relay, by the scarcer of its processor and its link. 1 is enough
/// for the leader of a large fleet.
double relayCapacity(unsigned cpuPercent, unsigned linkMegabits);

/// Whether a VM of \a capacity is to be served by the leader itself although this one serves enough others,
/// as it has clearly more capacity than one of them. Those that the leader serves are relays, and the next
/// leader is one of them.
bool deservesDirectPlace(const std::vector<RelayCandidate>& served, double capacity);

/// Index of the VM that makes room for one of \a capacity: that with the least capacity of those that relay
/// to no others. Returns nothing if there is none.
std::optional<std::size_t> chooseReplaced(const std::vector<RelayCandidate>& served, double capacity);

} // namespace Relay
