#pragma once

#include <dispatch/poisonkey.h>
#include <dispatch/poisonrecord.h>
#include <utils/time.h>

#include <map>
#include <set>
#include <utility>

namespace Dispatch {

/// Requests that upstreams crashed under.
struct PoisonTable {
    std::map<PoisonKey, PoisonRecord> records;
    std::set<std::pair<Utils::Instant, PoisonKey>> expiries;
};

} // namespace Dispatch
