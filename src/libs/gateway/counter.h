#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Gateway {

/// Things that an instance counts, besides outcomes, refusals and retries.
enum class Counter {
    CallerConnections,
    CallerConnectionsClosedMalformed,
    CallersLeft,
    AnswersCut,
    LinksOpened,
    LinksLost,
    LinksSilent,
    LinkFramesMalformed,
    UpstreamConnectionsOpened,
    UpstreamAnswersMalformed,
    WorksHeld,
    WorksStarted,
    WorksCancelled,
    AnswersReplayed,
    DatagramsMalformed,
    DatagramsSent,
    DatagramBytesSent,
    DatagramsReceived,
    GrantsSent,
    FencesSent,
    HolderCallsFailed,
    Takeovers,
    SteppedDown,
    ShardsServed,
    ShardsUnserved,
    LogReads,
    LogReadsFailed,
    LogAppends,
    LogAppendsFailed,
    VmListReads,
    VmListReadsFailed,
    RingFull,
};

inline constexpr std::array<Utils::EnumName<Counter>, 32> counterNames { {
    { Counter::CallerConnections, "caller_connections" },
    { Counter::CallerConnectionsClosedMalformed, "caller_connections_closed_malformed" },
    { Counter::CallersLeft, "callers_left" },
    { Counter::AnswersCut, "answers_cut" },
    { Counter::LinksOpened, "links_opened" },
    { Counter::LinksLost, "links_lost" },
    { Counter::LinksSilent, "links_silent" },
    { Counter::LinkFramesMalformed, "link_frames_malformed" },
    { Counter::UpstreamConnectionsOpened, "upstream_connections_opened" },
    { Counter::UpstreamAnswersMalformed, "upstream_answers_malformed" },
    { Counter::WorksHeld, "works_held" },
    { Counter::WorksStarted, "works_started" },
    { Counter::WorksCancelled, "works_cancelled" },
    { Counter::AnswersReplayed, "answers_replayed" },
    { Counter::DatagramsMalformed, "datagrams_malformed" },
    { Counter::DatagramsSent, "datagrams_sent" },
    { Counter::DatagramBytesSent, "datagram_bytes_sent" },
    { Counter::DatagramsReceived, "datagrams_received" },
    { Counter::GrantsSent, "grants_sent" },
    { Counter::FencesSent, "fences_sent" },
    { Counter::HolderCallsFailed, "holder_calls_failed" },
    { Counter::Takeovers, "takeovers" },
    { Counter::SteppedDown, "stepped_down" },
    { Counter::ShardsServed, "shards_served" },
    { Counter::ShardsUnserved, "shards_unserved" },
    { Counter::LogReads, "log_reads" },
    { Counter::LogReadsFailed, "log_reads_failed" },
    { Counter::LogAppends, "log_appends" },
    { Counter::LogAppendsFailed, "log_appends_failed" },
    { Counter::VmListReads, "vm_list_reads" },
    { Counter::VmListReadsFailed, "vm_list_reads_failed" },
    { Counter::RingFull, "ring_full" },
} };

} // namespace Gateway
