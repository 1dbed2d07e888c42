#pragma once

#include <utils/enumtable.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace Metrics {

/// One counter for each enumerator of an enum whose values run from 0. Any thread may count.
template <typename Enum, std::size_t Size> class CounterFamily {
public:
    /// Adds \a amount to the counter of \a value.
    void add(Enum value, std::uint64_t amount = 1)
    {
        this->counters.at(static_cast<std::size_t>(value)).fetch_add(amount, std::memory_order_relaxed);
    }

    std::uint64_t count(Enum value) const
    {
        return this->counters.at(static_cast<std::size_t>(value)).load(std::memory_order_relaxed);
    }

private:
    std::array<std::atomic<std::uint64_t>, Size> counters {};
};

} // namespace Metrics
