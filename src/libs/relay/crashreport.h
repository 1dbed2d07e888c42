#pragma once

#include <utils/time.h>

#include <cstdint>

namespace Relay {

/// What a VM observed about requests with the same content. Times are ages, as the clocks of VMs differ.
struct CrashReport {
    enum class Kind : std::uint8_t {
        /// An upstream crashed while it ran the request.
        Crash,
        /// An upstream responded to the request.
        Response,
        /// As Crash, and the store has shown that the upstream's process ended.
        ConfirmedCrash,
        /// The upstream's process lived from sentAge to endedAge: crashes in between are withdrawn.
        Life,
    };

    Kind kind = Kind::Crash;
    /// Identifies the report among all VMs.
    std::uint64_t id = 0;
    /// Hash of the request's content.
    std::uint64_t fingerprint = 0;
    /// Hash of the upstream's id.
    std::uint64_t upstream = 0;
    /// Time since the request was sent to the upstream.
    Utils::Duration sentAge {};
    /// Time since the attempt ended.
    Utils::Duration endedAge {};

    bool operator==(const CrashReport&) const = default;
};

} // namespace Relay
