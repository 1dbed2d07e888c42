#pragma once

#include <utils/time.h>

#include <cstdint>

/// Load of a keyed service with a span of busy keys that moves.
struct HotSpanLoad {
    unsigned upstreams;
    unsigned slots;
    /// Time that a request occupies a slot.
    Utils::Duration work;
    double requestsPerSecond;
    /// Share of the requests that go to the span.
    double hotShare;
    unsigned hotKeys;
    /// Time after which the span is somewhere else.
    Utils::Duration hotTime;
    unsigned vms;
    unsigned directVms;
    /// When the leader is lost, from the start on; none is lost if this is zero.
    Utils::Duration leaderLostAfter {};
};

/// In requests, unless stated otherwise.
struct HotSpanResult {
    double total = 0;
    /// Sent to holders that were offered more than they can do.
    double beyondCapacity = 0;
    /// Sent for keys that were changing hands.
    double duringMoves = 0;
    /// Keys that changed hands, counted each time.
    std::uint64_t movedKeys = 0;
    std::uint64_t movedSegments = 0;
    std::size_t maxSegments = 0;
    /// Each plan assigned each key once.
    bool coversAllKeys = true;
    /// Mean time from the start of a span until a twentieth of all requests or less exceeds what the holders
    /// can do or waits for a holder.
    double secondsUntilSpread = 0;
    /// The same for the last span alone.
    double lastSecondsUntilSpread = 0;
    /// The longest time for which a segment changed hands.
    double longestChangeSeconds = 0;
};

/// Replays \a load in virtual time for 32 s: VMs count and report requests, the leader plans, and keys change
/// hands with the delays of writes, releases and grants. The leader that follows a lost one knows the record,
/// but no rates, and begins changes that were under way anew.
HotSpanResult replayHotSpans(const HotSpanLoad& load, std::uint64_t seed);
