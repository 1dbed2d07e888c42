#pragma once

#include <edge/guardedtimer.h>
#include <platform/storepage.h>
#include <utils/time.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Edge {

/// State of a reader that follows one topic of the store.
struct TopicFollower {
    explicit TopicFollower(boost::asio::io_context& context)
        : timer(context)
    {
    }

    std::string topic;
    /// How long the store may delay its response to a read until there is a new record.
    Utils::Duration longPollTimeout {};
    /// Time between a response and the next read; limits how often a busy topic is read.
    Utils::Duration readInterval {};
    /// Called with the newest record of each key, at the start and when records were missed.
    std::function<void(const std::vector<Platform::StoreRecord>&, Utils::Offset end)> onSnapshot;
    /// Called with new records.
    std::function<void(const std::vector<Platform::StoreRecord>&)> onRecords;
    /// Called after each successful read with the end offset of the topic.
    std::function<void(Utils::Offset end)> onRead;
    /// Additional timeout for reading a snapshot. Only set where snapshots are large and read over a shared
    /// link, as a read that times out is sent again; a read that hangs in an outage is detected that much
    /// later.
    Utils::Duration extraSnapshotTimeout {};
    /// Offset of the next read; empty before the first snapshot.
    std::optional<Utils::Offset> nextOffset;
    /// Records of the snapshot that is being read page by page.
    std::vector<Platform::StoreRecord> snapshotRecords;
    /// End offset of the topic when the first page was read.
    std::optional<Utils::Offset> snapshotEnd;
    /// Size of the last record that was read; the next one is assumed to be as large.
    std::size_t lastRecordBytes = 0;
    /// Bytes of all responses to reads.
    std::uint64_t readBytes = 0;
    /// Number of failed reads since the last successful one.
    unsigned consecutiveFailures = 0;
    /// Id of the read in flight; 0 if there is none.
    std::uint64_t callId = 0;
    /// When the topic was first read, or read again after a pause.
    Utils::Instant startedAt {};
    /// When the last read was sent.
    Utils::Instant readStartedAt {};
    /// When a read last succeeded.
    Utils::Instant lastResponseAt {};
    /// A long poll got no response in time; the read that follows is none, and uses another connection.
    bool isPollOverdue = false;
    /// The topic is not being read.
    bool paused = false;
    /// A read has failed, and the next one waits for a successful read of another topic.
    bool waitsForOtherTopic = false;
    /// Only the newest record of each key matters, so that a resumed reader can skip the records in between.
    bool newestOnly = false;
    /// The next read is that of a snapshot.
    bool snapshotNeeded = false;
    GuardedTimer timer;
};

} // namespace Edge
