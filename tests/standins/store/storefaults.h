#pragma once

#include <cstddef>

namespace StandInStore {

/// What goes wrong at the store while it is set.
struct StoreFaults {
    /// Every call gets 503.
    bool outage = false;
    /// Nothing is answered.
    bool silent = false;
    /// Reads that wait hear nothing of new records until their time is up.
    bool deaf = false;
    /// Appends that take effect and whose connection is then closed.
    std::size_t loseAppendAnswers = 0;
    /// Newest records that snapshots don't show.
    std::size_t staleRecords = 0;
};

} // namespace StandInStore
