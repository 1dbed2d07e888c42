#pragma once

#include <standins/journal/callerrow.h>
#include <standins/journal/upstreamrow.h>

#include <vector>

namespace Journal {

/// All rows of a run of the system, each process's in the order in which it wrote them.
struct JournalSet {
    std::vector<CallerRow> callers;
    std::vector<UpstreamRow> upstreams;
};

} // namespace Journal
