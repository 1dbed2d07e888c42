#pragma once

#include <utils/ids.h>

#include <cstdint>

namespace Agreement {

/// The last record that a writer was judged on.
struct WriterProgress {
    std::uint64_t sequence = 0;
    /// Where that record stands in the log.
    Utils::Offset offset = 0;

    bool operator==(const WriterProgress&) const = default;
};

} // namespace Agreement
