#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Edge {

/// Why a request got an answer of this VM's own. Each has a counter.
enum class LocalResponseReason {
    /// No configuration is known yet.
    NoConfiguration,
    NoRoute,
    BadRequest,
    HeaderTooLarge,
    BodyTooLarge,
    /// The requests held on this VM fill the memory set aside for them.
    MemoryLimitReached,
    /// No upstream of the service is known that takes work.
    NoUpstream,
    /// The request's key has no holder at the moment.
    KeyWithoutHolder,
    /// An answer can't be expected in time.
    Overload,
    /// Upstreams refused it, and there is no time, budget or other upstream for another try.
    RejectedByUpstreams,
    /// An upstream broke off, and the request must not or can't be tried again.
    UpstreamFailed,
    /// Route's timeout or caller's deadline.
    DeadlineExceeded,
    /// Upstreams broke off whenever they ran it.
    PoisonQuarantined,
};

inline constexpr std::array<Utils::EnumName<LocalResponseReason>, 13> localResponseReasonNames { {
    { LocalResponseReason::NoConfiguration, "no_configuration" },
    { LocalResponseReason::NoRoute, "no_route" },
    { LocalResponseReason::BadRequest, "bad_request" },
    { LocalResponseReason::HeaderTooLarge, "header_too_large" },
    { LocalResponseReason::BodyTooLarge, "body_too_large" },
    { LocalResponseReason::MemoryLimitReached, "memory_full" },
    { LocalResponseReason::NoUpstream, "no_upstream" },
    { LocalResponseReason::KeyWithoutHolder, "key_without_holder" },
    { LocalResponseReason::Overload, "overload" },
    { LocalResponseReason::RejectedByUpstreams, "upstreams_refused" },
    { LocalResponseReason::UpstreamFailed, "upstream_failed" },
    { LocalResponseReason::DeadlineExceeded, "time_up" },
    { LocalResponseReason::PoisonQuarantined, "poison_held" },
} };

} // namespace Edge
