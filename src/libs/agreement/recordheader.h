#pragma once

#include <agreement/writer.h>

#include <cstdint>

namespace Agreement {

/// What identifies a record: an append that is repeated after a lost answer carries the same header.
struct RecordHeader {
    Writer writer;
    /// Rises with each new record of the writer, from 1.
    std::uint64_t sequence = 0;

    bool operator==(const RecordHeader&) const = default;
};

} // namespace Agreement
