#pragma once

#include <utils/time.h>

#include <cstddef>
#include <cstdint>

namespace Declarations {

/// Largest document in bytes.
inline constexpr std::size_t maxDocumentBytes = 1024UL * 1024;
/// Largest canonical text of a configuration in bytes; a log record holds it with its envelope.
inline constexpr std::size_t maxConfigurationBytes = 768UL * 1024;
/// Deepest nesting of objects and lists in a document.
inline constexpr std::size_t maxNesting = 8;
/// Longest name in bytes.
inline constexpr std::size_t maxNameBytes = 64;
/// Longest bound of a key range in bytes.
inline constexpr std::size_t maxKeyBytes = 1024;

inline constexpr std::uint64_t maxShards = 4096;
inline constexpr std::uint64_t maxSlots = 1024;
inline constexpr std::uint64_t maxConnections = 65536;
inline constexpr std::uint64_t maxPort = 65535;
inline constexpr std::uint64_t maxRankOrder = 100;
inline constexpr std::uint64_t maxRetryBudgetPercent = 100;
inline constexpr std::uint64_t maxRetryAttempts = 10;
inline constexpr std::uint64_t maxPoisonCrashes = 100;
inline constexpr std::uint64_t maxDriftPerMille = 100;
/// Largest request body that a service may allow, in bytes.
inline constexpr std::uint64_t maxRequestBytesAllowed = 1024UL * 1024 * 1024;
inline constexpr std::uint64_t maxLinkBitsPerSecond = 1'000'000'000'000;
inline constexpr double maxWeight = 1000;
/// Longest time in a rank, a retry policy or an idempotency policy.
inline constexpr Utils::Duration maxDuration = std::chrono::hours(24);
/// Time within which a key has an owner again after a loss: the bound for
/// suspectAfter + (proofWindow + lease) with drift.
inline constexpr Utils::Duration maxFailover = std::chrono::seconds(2);
/// Shares and weights are kept in steps of one in this many, so that text and value convert exactly.
inline constexpr double shareSteps = 1'000'000;

} // namespace Declarations
