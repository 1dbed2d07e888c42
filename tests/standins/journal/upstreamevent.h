#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Journal {

/// What a row of an upstream's journal tells.
enum class UpstreamEvent {
    Started,
    Stopped,
    GrantAccepted,
    LeaseEnded,
    Fenced,
    Refused,
    Overcommitted,
    RequestStarted,
    RequestEnded,
    RequestCancelled,
    AnswerLost,
    AnswerCut,
};

inline constexpr std::array<Utils::EnumName<UpstreamEvent>, 12> upstreamEventNames { {
    { UpstreamEvent::Started, "started" },
    { UpstreamEvent::Stopped, "stopped" },
    { UpstreamEvent::GrantAccepted, "grant_accepted" },
    { UpstreamEvent::LeaseEnded, "lease_ended" },
    { UpstreamEvent::Fenced, "fenced" },
    { UpstreamEvent::Refused, "refused" },
    { UpstreamEvent::Overcommitted, "overcommitted" },
    { UpstreamEvent::RequestStarted, "request_started" },
    { UpstreamEvent::RequestEnded, "request_ended" },
    { UpstreamEvent::RequestCancelled, "request_cancelled" },
    { UpstreamEvent::AnswerLost, "answer_lost" },
    { UpstreamEvent::AnswerCut, "answer_cut" },
} };

} // namespace Journal
