#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Edge {

/// What became of a request that another VM was asked to send to an upstream.
enum class ForwardingOutcome {
    /// An upstream's response.
    Delivered,
    /// The other VM rejected it; it has not run and will not run.
    NotRun,
    /// The other VM can't help: it reaches no upstream, has no room, or has an older configuration. Nothing
    /// was sent.
    Declined,
    /// The other VM could not be reached; nothing was sent.
    NotConnected,
    /// It may have run.
    Unknown,
};

inline constexpr std::array<Utils::EnumName<ForwardingOutcome>, 5> forwardingOutcomeNames { {
    { ForwardingOutcome::Delivered, "delivered" },
    { ForwardingOutcome::NotRun, "not_run" },
    { ForwardingOutcome::Declined, "declined" },
    { ForwardingOutcome::NotConnected, "not_connected" },
    { ForwardingOutcome::Unknown, "unknown" },
} };

} // namespace Edge
