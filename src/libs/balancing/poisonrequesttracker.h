#pragma once

#include <utils/time.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace Balancing {

/// Requests, identified by a hash of their content, during which connections to upstreams were lost.
struct PoisonRequestTracker {
    struct Suspect {
        unsigned crashes = 0;
        Utils::Instant lastCrashAt {};
    };
    std::unordered_map<std::uint64_t, Suspect> suspects;
};

/// Number of crashes after which a request is quarantined.
inline constexpr unsigned crashesToQuarantine = 2;
/// How long a suspect is kept after its last crash.
inline constexpr Utils::Duration suspectRetention = std::chrono::seconds(60);
inline constexpr std::size_t maxSuspects = 4096;

/// Returns the number of crashes that are counted against \a fingerprint.
unsigned recordCrash(PoisonRequestTracker& tracker, std::uint64_t fingerprint, Utils::Instant now);

/// Removes \a fingerprint from the suspects, because an upstream responded to the request.
void clearSuspect(PoisonRequestTracker& tracker, std::uint64_t fingerprint);

/// Whether requests with \a fingerprint are rejected.
///
/// Load pattern: a request that crashes each upstream that runs it and is retried through any VM.
bool isQuarantined(const PoisonRequestTracker& tracker, std::uint64_t fingerprint, Utils::Instant now);

/// The number of fingerprints whose requests are rejected.
std::size_t countQuarantined(const PoisonRequestTracker& tracker, Utils::Instant now);

} // namespace Balancing
