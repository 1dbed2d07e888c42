#pragma once

#include <utils/time.h>

#include <cstddef>
#include <cstdint>

namespace Dispatch {

/// Bounds of one pool's dispatcher.
struct DispatchCaps {
    /// Works queued for one upstream in one rank.
    std::size_t queuedPerRank = 512;
    /// Works waiting for owners of their shards.
    std::size_t waitingForOwner = 1024;
    /// Non-idempotent requests remembered, those queued and running included.
    std::size_t rememberedRequests = 100'000;
    /// Bytes of all stored answers.
    std::uint64_t storedBytes = 8 << 20;
    /// Bytes of the largest answer that is stored.
    std::uint64_t storedAnswerBytes = 64 << 10;
    /// Records of requests that an upstream crashed under.
    std::size_t poisonRecords = 4096;
    /// Starts of one work, the first included.
    unsigned maxStarts = 3;
    /// Longest wait for an owner of a shard, or for an upstream that can't be used.
    Utils::Duration ownerWait = std::chrono::seconds(2);
    /// Longest wait of a shard for works of it that its former upstream still runs.
    Utils::Duration moveWait = std::chrono::milliseconds(500);
    /// Time for which a leaving upstream still gets new work.
    Utils::Duration leavingGrace = std::chrono::seconds(2);
    /// Time for which a slot whose work was lost or timed out counts as taken.
    Utils::Duration abandonedSlotHold = std::chrono::milliseconds(200);
    /// Longest time that a caller is told to stay away because of a backlog.
    Utils::Duration maxRetryAfter = std::chrono::seconds(30);
};

} // namespace Dispatch
