#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Edge {

/// Why this VM responded to a request itself. Each reason has a counter.
enum class LocalResponseReason {
    /// No configuration has been received yet.
    NoConfiguration,
    /// The configuration has no route for the request, but this VM may have missed a later one.
    StaleConfiguration,
    NoRoute,
    BadRequest,
    HeaderTooLarge,
    BodyTooLarge,
    /// Buffered request bodies use all the memory reserved for them.
    MemoryLimitReached,
    /// No usable upstream of the service is known.
    NoUpstream,
    /// No usable upstream, or not the holder of the key, is in a home region of the route.
    NoUpstreamInHomes,
    /// All usable upstreams for the request are in evacuated availability zones.
    ZonesEvacuated,
    /// This VM reaches no upstream, and no other VM can send the request to one.
    Unreachable,
    /// The request's key has no holder that can serve it.
    KeyWithoutHolder,
    /// Admission control: the response is not expected in time.
    Overload,
    /// Admission control: a more urgent request would not find a free slot.
    YieldedToUrgent,
    /// The request would have to wait longer for room at upstreams than is left to it.
    NoRoomInTime,
    /// All upstreams for the request name a limit, and it is used up.
    LimitReached,
    /// All upstreams for the request have asked for a pause.
    UpstreamsPaused,
    /// Upstreams rejected the request, and no time, retry budget or other upstream is left for a retry.
    RejectedByUpstreams,
    /// An attempt failed after the request was sent, and the request must not or cannot be retried.
    UpstreamFailed,
    /// The route's timeout or the caller's deadline has passed.
    DeadlineExceeded,
    /// The request is quarantined because upstream connections were repeatedly lost while it ran.
    PoisonQuarantined,
    /// The process ends before the request could be completed.
    Stopping,
};

inline constexpr std::array<Utils::EnumName<LocalResponseReason>, 22> localResponseReasonNames { {
    { LocalResponseReason::NoConfiguration, "no_configuration" },
    { LocalResponseReason::StaleConfiguration, "stale_configuration" },
    { LocalResponseReason::NoRoute, "no_route" },
    { LocalResponseReason::BadRequest, "bad_request" },
    { LocalResponseReason::HeaderTooLarge, "header_too_large" },
    { LocalResponseReason::BodyTooLarge, "body_too_large" },
    { LocalResponseReason::MemoryLimitReached, "memory_full" },
    { LocalResponseReason::NoUpstream, "no_upstream" },
    { LocalResponseReason::NoUpstreamInHomes, "no_upstream_in_homes" },
    { LocalResponseReason::ZonesEvacuated, "zones_evacuated" },
    { LocalResponseReason::Unreachable, "upstreams_unreachable" },
    { LocalResponseReason::KeyWithoutHolder, "key_without_holder" },
    { LocalResponseReason::Overload, "overload" },
    { LocalResponseReason::YieldedToUrgent, "yielded_to_urgent" },
    { LocalResponseReason::NoRoomInTime, "no_room_in_time" },
    { LocalResponseReason::LimitReached, "limit_reached" },
    { LocalResponseReason::UpstreamsPaused, "upstreams_paused" },
    { LocalResponseReason::RejectedByUpstreams, "upstreams_refused" },
    { LocalResponseReason::UpstreamFailed, "upstream_failed" },
    { LocalResponseReason::DeadlineExceeded, "time_up" },
    { LocalResponseReason::PoisonQuarantined, "poison_held" },
    { LocalResponseReason::Stopping, "stopping" },
} };

} // namespace Edge
