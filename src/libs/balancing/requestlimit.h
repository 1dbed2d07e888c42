#pragma once

#include <balancing/requestbound.h>
#include <utils/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Keeping a limit on the requests of all VMs together without messages between them.
namespace Balancing {

/// The requests that an upstream takes, and this VM's share of it.
struct RequestLimit {
    /// Requests per second of all VMs together.
    double perSecond = 0;
    RequestBound bound;
    /// Whether the upstream named the limit in its last response.
    bool isNamed = false;
    /// When that response arrived, at this VM or another one.
    Utils::Instant observedAt {};
    /// When the limit was first named.
    Utils::Instant namedAt {};
    /// Number of VMs that share the limit, and whether this VM is one of them.
    std::size_t shareholders = 1;
    bool isShareholder = true;
    Utils::Instant sharedAt {};
    /// When this VM may send its next request.
    Utils::Instant nextSendAt {};
    /// The most urgent priority that has asked for a send; 0 is the most urgent.
    unsigned mostUrgentPriority = UINT32_MAX;
    std::uint64_t refusals = 0;
};

/// Number of VMs that may share a limit of \a perSecond so that all of them sending at once stay within it.
std::size_t countShareholders(double perSecond, const RequestBound& bound, std::size_t vmCount);

/// Whether a VM is among the shareholders of all \a vmCount VMs. All VMs rank the members alike.
/// \param own rank of the VM, a hash, and \a others those of the members that it knows
bool isAmongShareholders(const RequestLimit& limit, std::uint64_t own,
    const std::vector<std::uint64_t>& others, std::size_t vmCount);

/// Part of the range of hashes, 0 to 1, that lies below \a hash.
double hashFraction(std::uint64_t hash);

/// Time between two requests of one shareholder.
Utils::Duration shareInterval(const RequestLimit& limit);

/// Puts the limit in force at \a now. \param phase part of the interval, 0 to 1, until the first send of this
/// VM; it differs between VMs.
void startLimit(RequestLimit& limit, double phase, Utils::Instant now);

/// Returns the time until this VM may send a request, without reserving it, or nothing if it is no
/// shareholder.
std::optional<Utils::Duration> timeToNextSend(const RequestLimit& limit, Utils::Instant now);

/// Reserves the next send of this VM if it is at most \a maxWait ahead. Returns the time until then. Less
/// urgent requests than others that have asked only get a send that is free now.
///
/// Load pattern: an upstream in need takes one or two requests a second, several times as many arrive, at all
/// VMs, and some of these are slow, cut off or restarted.
std::optional<Utils::Duration> reserveSend(
    RequestLimit& limit, unsigned priority, Utils::Duration maxWait, Utils::Instant now);

/// Reserves a send within all of \a limits, which bind the same upstream; see above.
std::optional<Utils::Duration> reserveSend(
    const std::vector<RequestLimit*>& limits, unsigned priority, Utils::Duration maxWait, Utils::Instant now);

/// Returns after what time a rejected request is worth sending again.
Utils::Duration retryDelay(const RequestLimit& limit, Utils::Instant now);

} // namespace Balancing
