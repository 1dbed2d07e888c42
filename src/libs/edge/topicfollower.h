#pragma once

#include <platform/storepage.h>
#include <utils/time.h>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Edge {

/// Reads one topic of the store for good.
struct TopicFollower {
    explicit TopicFollower(boost::asio::io_context& context)
        : timer(context)
    {
    }

    std::string topic;
    /// How long the store may keep a read waiting for a record.
    Utils::Duration longPollTimeout {};
    /// Pause between an answer and the next read; bounds how often a busy topic is read.
    Utils::Duration readInterval {};
    /// Takes the newest record of all keys. Called at the start, and when records were missed.
    std::function<void(const std::vector<Platform::StoreRecord>&, Utils::Offset end)> onSnapshot;
    /// Takes records as they come.
    std::function<void(const std::vector<Platform::StoreRecord>&)> onRecords;
    /// Called after each read that was answered.
    std::function<void(Utils::Offset end)> onRead;
    /// Time for the newest of all keys beyond that for other answers. Long only where they are large and come
    /// over a link that all share, as a read that is cut off is sent again; a read that hangs in an outage is
    /// missed for as long.
    Utils::Duration extraSnapshotTimeout {};
    /// Where to read on; nothing before the first snapshot.
    std::optional<Utils::Offset> nextOffset;
    /// Pages of a snapshot so far.
    std::vector<Platform::StoreRecord> snapshotRecords;
    std::optional<Utils::Offset> snapshotEnd;
    /// Reads without an answer in a row.
    unsigned consecutiveFailures = 0;
    /// The read under way; 0 during a pause.
    std::uint64_t callId = 0;
    /// When a read was last answered.
    Utils::Instant lastResponseAt {};
    /// Not read for now.
    bool paused = false;
    /// Only the newest of each key counts, so that a reader that was away need not read what came between.
    bool newestOnly = false;
    /// The next read is one of the newest of each key.
    bool snapshotNeeded = false;
    boost::asio::steady_timer timer;
};

} // namespace Edge
