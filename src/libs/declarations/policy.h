#pragma once

#include <declarations/idempotencypolicy.h>
#include <declarations/leasepolicy.h>
#include <declarations/placementpolicy.h>
#include <declarations/retrypolicy.h>
#include <utils/ids.h>

namespace Declarations {

/// A named set of choices that services refer to.
struct Policy {
    Utils::PolicyId id;
    LeasePolicy lease;
    RetryPolicy retry;
    IdempotencyPolicy idempotency;
    PlacementPolicy placement;

    bool operator==(const Policy&) const = default;
};

} // namespace Declarations
