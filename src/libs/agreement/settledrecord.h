#pragma once

#include <agreement/recordheader.h>
#include <agreement/vmstart.h>
#include <utils/ids.h>

namespace Agreement {

/// Says that nobody acts any more on what a pool's former assignments allowed.
struct SettledRecord {
    RecordHeader header;
    Utils::PoolId pool;
    /// Token of the assignment whose formers are settled.
    Utils::Offset token = 0;
    /// The dispatcher or successor that settled them.
    VmStart by;

    bool operator==(const SettledRecord&) const = default;
};

} // namespace Agreement
