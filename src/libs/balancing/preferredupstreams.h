#pragma once

#include <balancing/candidate.h>
#include <balancing/servicestats.h>
#include <utils/time.h>

#include <cstddef>
#include <cstdint>
#include <vector>

/// Which upstreams of a service one VM prefers.
namespace Balancing {

/// How many upstreams of a service a VM prefers, counted from the nearest on.
struct PreferredCounts {
    std::size_t sameZone = 6;
    std::size_t sameRegion = 9;
    std::size_t all = 10;
};

/// A service with fewer upstreams for each preferred one is used as a whole by every VM.
inline constexpr std::size_t minUpstreamsPerPreferred = 2;

/// Returns the positions of the upstreams that this VM prefers: the same ones for as long as they are
/// candidates, others on other VMs. \param vmSeed differs between VMs.
std::vector<std::size_t> findPreferred(
    const std::vector<Candidate>& candidates, std::uint64_t vmSeed, const PreferredCounts& counts = {});

/// Leaves those preferred upstreams that seem to have a free slot, if there are any and the service has many
/// more upstreams. Otherwise the request may go to all of them.
///
/// Load pattern: each of many VMs sends a few requests a second to a service with many upstreams, so that by
/// the time of its next request to one of them its connection has been closed, and the load that it reported
/// is out of date.
void keepPreferred(
    std::vector<Candidate>& candidates, const ServiceStats& stats, std::uint64_t vmSeed, Utils::Instant now);

} // namespace Balancing
