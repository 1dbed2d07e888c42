#pragma once

#include <utils/ids.h>
#include <utils/time.h>

namespace Declarations {

/// A rank of work. Lower \c order is more urgent.
struct Rank {
    Utils::RankId id;
    /// Place among the ranks; 0 is the most urgent.
    unsigned order = 0;
    /// Latency that the rank aims at.
    Utils::Duration target {};
    /// Time limit of a request whose caller names none.
    Utils::Duration defaultTimeout {};
    /// Least share of an upstream's slots, 0..1, kept for this rank while it has work.
    double floorShare = 0;
    /// Retries allowed for each hundred first attempts.
    unsigned retryBudgetPercent = 0;

    bool operator==(const Rank&) const = default;
};

} // namespace Declarations
