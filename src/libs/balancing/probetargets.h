#pragma once

#include <balancing/candidate.h>
#include <balancing/servicestats.h>
#include <utils/time.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

/// Which upstreams a VM asks for their load before it sends a request.
namespace Balancing {

/// How many upstreams of a service a VM prefers, counted from the nearest on. Few enough for connections to
/// stay in use, enough to spread the VMs of a zone evenly.
struct PreferredCounts {
    std::size_t sameZone = 6;
    std::size_t sameRegion = 9;
    std::size_t all = 10;
};

/// Number of upstreams that are asked at a time.
inline constexpr std::size_t probesPerRound = 2;
/// Number of rounds for one request. The second one goes beyond the preferred upstreams.
inline constexpr unsigned maxProbeRounds = 2;

struct ProbeRequest {
    /// Differs between VMs; the same for all requests of a VM.
    std::uint64_t vmSeed = 0;
    /// Differs between requests.
    std::uint64_t requestSeed = 0;
    /// Number of rounds that the request has had.
    unsigned round = 0;
    /// Upstreams that were asked in earlier rounds.
    std::set<Utils::UpstreamId> asked;
};

/// Returns the positions of the upstreams that this VM prefers: the same ones for as long as they are
/// candidates, others on other VMs.
std::vector<std::size_t> findPreferred(
    const std::vector<Candidate>& candidates, std::uint64_t vmSeed, const PreferredCounts& counts = {});

void keepPreferred(
    std::vector<Candidate>& candidates, const ServiceStats& stats, std::uint64_t vmSeed, Utils::Instant now);

/// Returns the positions of the upstreams to ask, two at most. Upstreams that are ejected are asked only if
/// there are no others.
///
/// Load pattern: many VMs, each of which sends a few requests a second, share upstreams with few slots whose
/// speeds differ and change several times a second. What a VM last heard of an upstream is older than its
/// requests last, so that some upstreams have queues while others are idle.
std::vector<std::size_t> chooseProbeTargets(
    const std::vector<Candidate>& candidates, const ProbeRequest& request, Utils::Instant now);

} // namespace Balancing
