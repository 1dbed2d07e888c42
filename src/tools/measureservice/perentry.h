#pragma once

#include <dispatch/action.h>
#include <requests/work.h>
#include <utils/time.h>

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "pool.h"

namespace Measure {

/// The queues of one entry VM: for each upstream by the order of the rank.
struct EntryQueues {
    std::array<std::map<unsigned, std::deque<Requests::Work>>, upstreamCount> queues;
    std::array<unsigned, upstreamCount> running {};
};

/// Entry VMs that send to upstreams each by itself.
struct PerEntry {
    std::array<EntryQueues, entryCount> entries;
};

std::vector<Dispatch::Action> submitTo(
    PerEntry& state, unsigned entry, unsigned order, const Requests::Work& work, Utils::Instant now);
std::vector<Dispatch::Action> finishedIn(
    PerEntry& state, unsigned entry, unsigned upstream, Utils::Instant now);

} // namespace Measure
