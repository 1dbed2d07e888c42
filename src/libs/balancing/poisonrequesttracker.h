#pragma once

#include <balancing/attemptobservation.h>
#include <balancing/lifespan.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// Detection of requests that crash the upstreams that run them. The bound on the crashes is one for all VMs,
/// so observations of other VMs are recorded like those of this one.
namespace Balancing {

struct PoisonRequestTracker {
    /// A request, identified by a hash of its content, that was running when upstreams crashed.
    struct Suspect {
        /// Distinct crashes, the oldest first.
        std::vector<AttemptObservation> crashes;
        /// When an upstream last responded to the request; earlier crashes do not count.
        std::optional<Utils::Instant> respondedAt;
        Utils::Instant changedAt {};
    };
    std::unordered_map<std::uint64_t, Suspect> suspects;
    /// The last counted crash of each upstream that its life may still refute. Key: hash of its id.
    std::unordered_map<std::uint64_t, Utils::Instant> refutableCrashes;
    /// What this VM has seen of each upstream's process. Key: hash of the upstream's id.
    std::unordered_map<std::uint64_t, LifeSpan> lives;
    /// The last that other VMs reported, kept apart as its times are inexact.
    std::unordered_map<std::uint64_t, LifeSpan> reportedLives;
};

/// Number of crashes after which a request is quarantined.
inline constexpr std::size_t crashesToQuarantine = 3;
/// Duration of the first quarantine; each further crash doubles it.
inline constexpr Utils::Duration minQuarantine = std::chrono::seconds(60);
inline constexpr Utils::Duration maxQuarantine = std::chrono::hours(1);
/// How long a suspect is kept after its last change. Quarantined requests are kept for longer than their
/// quarantine.
inline constexpr Utils::Duration suspectRetention = std::chrono::minutes(10);
inline constexpr std::size_t maxSuspects = 4096;
/// Upstreams whose life is remembered; beyond that, those that have not answered for suspectRetention are
/// forgotten.
inline constexpr std::size_t maxLives = 4096;

/// Records that the upstream crashed during the attempt. Returns false if the crash has been counted before:
/// an attempt that had begun when its upstream crashed during another one ended with the same crash; or if
/// its upstream is known to have lived on and the store has not shown the contrary.
bool recordCrash(PoisonRequestTracker& tracker, const AttemptObservation& attempt);

/// Records that the upstream responded, which shows that the request does not crash upstreams. Returns false
/// if no crash was counted against the request.
bool recordResponse(PoisonRequestTracker& tracker, const AttemptObservation& attempt);

/// Records that the upstream with the hash \a upstream answered a request that this VM sent at \a sentAt on a
/// connection of \a connectedAt. Returns the crashes that this withdraws.
std::vector<AttemptObservation> recordLife(
    PoisonRequestTracker& tracker, std::uint64_t upstream, Utils::Instant connectedAt, Utils::Instant sentAt);

/// Records what another VM has seen of the upstream's process. Returns the crashes that this withdraws.
std::vector<AttemptObservation> recordReportedLife(
    PoisonRequestTracker& tracker, std::uint64_t upstream, const LifeSpan& life);

/// Returns what this VM knows of the upstream's life if that shows that it did not crash in \a attempt.
std::optional<LifeSpan> findRefutation(
    const PoisonRequestTracker& tracker, const AttemptObservation& attempt);

/// Whether \a attempt itself is counted as a crash.
bool isCounted(const PoisonRequestTracker& tracker, const AttemptObservation& attempt);

/// Withdraws the crash with the \a id of an observation.
void withdrawCrash(PoisonRequestTracker& tracker, std::uint64_t fingerprint, std::uint64_t id);

/// Number of crashes that are counted against \a fingerprint.
std::size_t countCrashes(const PoisonRequestTracker& tracker, std::uint64_t fingerprint);

/// Returns how long requests with \a fingerprint are still rejected, or nothing if they are not.
/// \param trialDelay time after the quarantine until this VM may send the request again. It differs between
/// VMs, so that one of them tries first and the others learn the outcome.
///
/// Load pattern: a request that crashes each upstream that runs it and is retried through any VM.
std::optional<Utils::Duration> quarantineLeft(const PoisonRequestTracker& tracker, std::uint64_t fingerprint,
    Utils::Instant now, Utils::Duration trialDelay);

/// The number of quarantined fingerprints, without trial delays.
std::size_t countQuarantined(const PoisonRequestTracker& tracker, Utils::Instant now);

/// Returns the crashes of at most \a maxSuspectCount suspects, those with the most crashes first.
std::vector<AttemptObservation> collectCrashes(
    const PoisonRequestTracker& tracker, std::size_t maxSuspectCount);

} // namespace Balancing
