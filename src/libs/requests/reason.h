#pragma once

#include <requests/outcome.h>
#include <utils/enumtable.h>

#include <array>

namespace Requests {

/// Why a request was not done. Each has a counter.
enum class Reason {
    None,
    // Not run: the request itself can't be taken.
    BadRequest,
    UnknownService,
    RankNotAllowed,
    BodyTooLarge,
    MissingIdempotencyKey,
    /// The request id was used for another content.
    RequestIdReused,
    // Not run: the system can't take it now.
    NoConfiguration,
    EntryOverloaded,
    ShuttingDown,
    NoOwner,
    NotDispatcher,
    DispatcherUnreachable,
    LinkBudget,
    QueueFull,
    DeadlineTooShort,
    DeadlinePassed,
    CallerOverShare,
    PoisonHeld,
    /// No room to remember another non-idempotent request.
    MemoryFull,
    Cancelled,
    // Not run: the upstream said so, or was never reached.
    UpstreamUnreachable,
    UpstreamShedding,
    UpstreamDraining,
    StaleToken,
    // Unknown.
    DispatcherLost,
    UpstreamLost,
    UpstreamTimeout,
    AnswerTooLong,
    StillRunning,
    AlreadyRan,
    MemoryGap,
};

inline constexpr std::array<Utils::EnumName<Reason>, 32> reasonNames { {
    { Reason::None, "none" },
    { Reason::BadRequest, "bad_request" },
    { Reason::UnknownService, "unknown_service" },
    { Reason::RankNotAllowed, "rank_not_allowed" },
    { Reason::BodyTooLarge, "body_too_large" },
    { Reason::MissingIdempotencyKey, "missing_idempotency_key" },
    { Reason::RequestIdReused, "request_id_reused" },
    { Reason::NoConfiguration, "no_configuration" },
    { Reason::EntryOverloaded, "entry_overloaded" },
    { Reason::ShuttingDown, "shutting_down" },
    { Reason::NoOwner, "no_owner" },
    { Reason::NotDispatcher, "not_dispatcher" },
    { Reason::DispatcherUnreachable, "dispatcher_unreachable" },
    { Reason::LinkBudget, "link_budget" },
    { Reason::QueueFull, "queue_full" },
    { Reason::DeadlineTooShort, "deadline_too_short" },
    { Reason::DeadlinePassed, "deadline_passed" },
    { Reason::CallerOverShare, "caller_over_share" },
    { Reason::PoisonHeld, "poison_held" },
    { Reason::MemoryFull, "memory_full" },
    { Reason::Cancelled, "cancelled" },
    { Reason::UpstreamUnreachable, "upstream_unreachable" },
    { Reason::UpstreamShedding, "upstream_shedding" },
    { Reason::UpstreamDraining, "upstream_draining" },
    { Reason::StaleToken, "stale_token" },
    { Reason::DispatcherLost, "dispatcher_lost" },
    { Reason::UpstreamLost, "upstream_lost" },
    { Reason::UpstreamTimeout, "upstream_timeout" },
    { Reason::AnswerTooLong, "answer_too_long" },
    { Reason::StillRunning, "still_running" },
    { Reason::AlreadyRan, "already_ran" },
    { Reason::MemoryGap, "memory_gap" },
} };

/// The outcome that a reason stands for.
constexpr Outcome outcomeOf(Reason reason)
{
    if (reason == Reason::None)
        return Outcome::Done;
    return reason < Reason::DispatcherLost ? Outcome::NotRun : Outcome::Unknown;
}

} // namespace Requests
