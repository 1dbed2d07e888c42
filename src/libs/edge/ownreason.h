#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Edge {

/// Why a request got an answer of this VM's own. Each has a counter.
enum class OwnReason {
    /// No configuration is known yet.
    NoConfiguration,
    NoRoute,
    BadRequest,
    HeaderTooLarge,
    BodyTooLarge,
    /// The requests held on this VM fill the memory set aside for them.
    MemoryFull,
    /// No upstream of the service is known that takes work.
    NoUpstream,
    /// The request's key has no holder at the moment.
    KeyWithoutHolder,
    /// An answer can't be expected in time.
    Overload,
    /// Upstreams refused it, and there is no time, budget or other upstream for another try.
    UpstreamsRefused,
    /// An upstream broke off, and the request must not or can't be tried again.
    UpstreamFailed,
    /// Route's timeout or caller's deadline.
    TimeUp,
    /// Upstreams broke off whenever they ran it.
    PoisonHeld,
};

inline constexpr std::array<Utils::EnumName<OwnReason>, 13> ownReasonNames { {
    { OwnReason::NoConfiguration, "no_configuration" },
    { OwnReason::NoRoute, "no_route" },
    { OwnReason::BadRequest, "bad_request" },
    { OwnReason::HeaderTooLarge, "header_too_large" },
    { OwnReason::BodyTooLarge, "body_too_large" },
    { OwnReason::MemoryFull, "memory_full" },
    { OwnReason::NoUpstream, "no_upstream" },
    { OwnReason::KeyWithoutHolder, "key_without_holder" },
    { OwnReason::Overload, "overload" },
    { OwnReason::UpstreamsRefused, "upstreams_refused" },
    { OwnReason::UpstreamFailed, "upstream_failed" },
    { OwnReason::TimeUp, "time_up" },
    { OwnReason::PoisonHeld, "poison_held" },
} };

} // namespace Edge
