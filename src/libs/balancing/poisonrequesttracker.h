#pragma once

#include <utils/time.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace Balancing {

/// Requests, by a hash of their content, during which upstreams broke off.
struct PoisonRequestTracker {
    struct Suspect {
        unsigned crashes = 0;
        Utils::Instant lastCrashAt {};
    };
    std::unordered_map<std::uint64_t, Suspect> suspects;
};

/// Crashes after which a request is held back.
inline constexpr unsigned crashesToQuarantine = 2;
/// How long a suspect is remembered after its last crash.
inline constexpr Utils::Duration suspectRetention = std::chrono::seconds(60);
inline constexpr std::size_t maxSuspects = 4096;

void recordCrash(PoisonRequestTracker& memory, std::uint64_t fingerprint, Utils::Instant now);

/// Forgets \a fingerprint: it was answered.
void clearSuspect(PoisonRequestTracker& memory, std::uint64_t fingerprint);

/// Load pattern: a request that crashes each upstream that runs it and comes again at any VM.
bool isQuarantined(const PoisonRequestTracker& memory, std::uint64_t fingerprint, Utils::Instant now);

} // namespace Balancing
