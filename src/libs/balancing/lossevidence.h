#pragma once

#include <balancing/lossverdict.h>
#include <utils/time.h>

#include <optional>

namespace Balancing {

/// Results of the probes after a connection to an upstream was lost, in the order in which they are made.
struct LossEvidence {
    /// Time from when the lost request was sent to the begin of a probe that the upstream accepted.
    std::optional<Utils::Duration> acceptedAfter;
    /// Whether another upstream accepted a connection after the first probe had failed.
    bool otherAccepted = false;
};

/// Judges a loss after all its probes.
///
/// Load pattern: links of a VM fail and return many times a second, so that a refusal of one upstream and an
/// acceptance of another one mean something only in this order, with a second refusal after them.
LossVerdict judgeLoss(const LossEvidence& evidence);

} // namespace Balancing
