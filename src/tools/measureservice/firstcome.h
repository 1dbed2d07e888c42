#pragma once

#include <dispatch/action.h>
#include <requests/work.h>
#include <utils/time.h>

#include <array>
#include <deque>
#include <map>
#include <vector>

#include "pool.h"

namespace Measure {

/// A queue for each upstream, first come first served.
struct FirstCome {
    std::array<std::deque<Requests::Work>, upstreamCount> queues;
    std::array<unsigned, upstreamCount> running {};
};

std::vector<Dispatch::Action> submitTo(FirstCome& state, const Requests::Work& work, Utils::Instant now);
std::vector<Dispatch::Action> finishedIn(FirstCome& state, unsigned upstream, Utils::Instant now);

} // namespace Measure
