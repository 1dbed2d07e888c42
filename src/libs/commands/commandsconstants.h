#pragma once

#include <utils/time.h>

#include <cstddef>

namespace Commands {

/// Time limit of one call to the log, the VM list or a VM.
inline constexpr Utils::Duration callTimeout = std::chrono::seconds(2);
/// Longest time that one read waits for new records.
inline constexpr Utils::Duration readWait = std::chrono::milliseconds(250);
/// Pause after a failed call.
inline constexpr Utils::Duration retryPause = std::chrono::milliseconds(100);
/// Records asked for in one read, to begin with.
inline constexpr std::size_t recordsPerRead = 256;
/// VMs that are asked at a time.
inline constexpr std::size_t parallelStatusCalls = 16;
/// Largest time limit that a command takes, in milliseconds.
inline constexpr unsigned maxTimeoutMs = 600'000;

} // namespace Commands
