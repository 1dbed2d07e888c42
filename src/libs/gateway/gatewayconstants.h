#pragma once

#include <utils/time.h>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Gateway {

/// Longest head of a caller's request, in bytes.
inline constexpr std::uint32_t maxRequestHeadBytes = 16U << 10U;
/// Longest head of an upstream's answer, in bytes.
inline constexpr std::uint32_t maxAnswerHeadBytes = 32U << 10U;
/// Bytes of a connection that wait to be parsed: a head, or the line of a chunk or a trailer, which the
/// parser keeps until their end has come.
inline constexpr std::size_t maxUnparsedBytes = 64U << 10U;
/// Bytes of an answer that are read ahead before its head is passed on, so that a small one arrives whole or
/// not at all.
inline constexpr std::size_t answerHoldBytes = 64U << 10U;
/// Bytes of an answer under way between dispatcher and caller.
inline constexpr std::uint64_t answerWindowBytes = 256U << 10U;
/// Bytes queued on a link before it is given up.
inline constexpr std::size_t maxLinkQueueBytes = 64U << 20U;
/// Events held by one duty's ring.
inline constexpr std::size_t ringCapacity = 16384;

/// How long a caller's connection may stay idle.
inline constexpr Utils::Duration callerIdleTimeout = std::chrono::seconds(60);
/// How long a caller may take over one request or one part of an answer.
inline constexpr Utils::Duration callerTransferTimeout = std::chrono::seconds(20);
/// Time limit of opening a connection inside the system or to an upstream.
inline constexpr Utils::Duration connectTimeout = std::chrono::milliseconds(300);
/// Time limit of one control exchange with an upstream.
inline constexpr Utils::Duration controlTimeout = std::chrono::milliseconds(300);
/// Time between two probes of a link.
inline constexpr Utils::Duration linkProbeEvery = std::chrono::milliseconds(200);
/// Silence after which a link is given up.
inline constexpr Utils::Duration linkSilence = std::chrono::milliseconds(800);
/// Time since its last answer up to which an upstream connection carries another idempotent request.
inline constexpr Utils::Duration idleReuse = std::chrono::seconds(2);
/// The same for a request that must not run twice.
inline constexpr Utils::Duration provenReuse = std::chrono::milliseconds(50);
/// How much longer than the deadline an entry VM waits for the dispatcher's word.
inline constexpr Utils::Duration answerGrace = std::chrono::milliseconds(300);
/// How long an entry VM looks for a dispatcher before it gives a request up.
inline constexpr Utils::Duration dispatcherSearch = std::chrono::seconds(3);
/// Time between two tries to reach a dispatcher.
inline constexpr Utils::Duration dispatcherRetryEvery = std::chrono::milliseconds(40);
/// When callers are told to come back after a refusal that names no time.
inline constexpr Utils::Duration defaultRetryAfter = std::chrono::milliseconds(250);
/// Longest request time limit that a caller can ask for.
inline constexpr Utils::Duration maxRequestTimeout = std::chrono::minutes(10);
/// Time between two looks of the control duty at its timers.
inline constexpr Utils::Duration controlTickEvery = std::chrono::milliseconds(10);
/// Time between two heartbeats to one VM.
inline constexpr Utils::Duration heartbeatEvery = std::chrono::milliseconds(500);
/// Time between two reviews of what has to be proposed.
inline constexpr Utils::Duration reviewEvery = std::chrono::milliseconds(50);
/// Time between two looks at an upstream's state by whoever proposes for its pool.
inline constexpr Utils::Duration upstreamPollEvery = std::chrono::milliseconds(250);
/// Time between two proposals for one pool.
inline constexpr Utils::Duration proposalEvery = std::chrono::milliseconds(400);
/// Time between two reads of the VM list.
inline constexpr Utils::Duration vmListEvery = std::chrono::milliseconds(500);
/// How long one read of the log waits for new records.
inline constexpr std::int64_t logWaitMilliseconds = 400;
/// Time limit of one exchange with the log service or the VM list.
inline constexpr Utils::Duration platformTimeout = std::chrono::seconds(2);
/// Records asked for at a time.
inline constexpr std::uint64_t logReadLimit = 256;
/// Time that running work gets at a planned stop.
inline constexpr Utils::Duration drainLimit = std::chrono::seconds(20);

} // namespace Gateway
