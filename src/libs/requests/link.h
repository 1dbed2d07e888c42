#pragma once

#include <declarations/regionlink.h>
#include <requests/linkbudget.h>
#include <requests/linkdecision.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>

/// The budget of a metered region link, kept by each entry VM for its own part.
namespace Requests {

/// The budget of one of \a vms VMs that share the link. Buckets start full.
LinkBudget linkBudgetOf(const Declarations::RegionLink& link, unsigned vms, Utils::Instant now);

/// Takes \a bytes of \a rank out of the budget, from the rank's own share first and then from what others
/// left. A request is let through while the bucket is not in debt, so that one larger than a burst can cross.
LinkDecision takeLink(LinkBudget& budget, const Utils::RankId& rank, std::uint64_t bytes, Utils::Instant now);

/// Charges bytes that have already crossed, such as an answer whose size was not known.
void chargeLink(LinkBudget& budget, const Utils::RankId& rank, std::uint64_t bytes, Utils::Instant now);

} // namespace Requests
