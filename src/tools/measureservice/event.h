#pragma once

#include <utils/time.h>

#include <cstdint>
#include <functional>
#include <tuple>

namespace Measure {

/// Something that happens at a point of virtual time; events of the same time happen in the order of their
/// making.
struct Event {
    Utils::Instant at {};
    std::uint64_t sequence = 0;
    std::function<void()> run;

    /// Later events are smaller, so that a priority queue gives the earliest first.
    bool operator<(const Event& other) const
    {
        return std::tie(other.at, other.sequence) < std::tie(this->at, this->sequence);
    }
};

} // namespace Measure
