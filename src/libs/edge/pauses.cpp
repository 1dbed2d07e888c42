#include <balancing/upstreampause.h>
#include <edge/clock.h>
#include <edge/pauses.h>
#include <logging/log.h>
#include <utils/hash.h>

#include <algorithm>
#include <utility>

namespace Edge {

namespace Internal {

double phaseOf(std::string_view text, std::uint64_t seed)
{
    return static_cast<double>(Utils::stableHash(text, seed) >> 11) / static_cast<double>(1ULL << 53);
}

} // namespace Internal

void recordNamedPause(Node& node, const Utils::UpstreamId& upstream, std::uint64_t startTimeMs,
    const Platform::ServerHeaders& headers)
{
    if (headers.pauseError) {
        node.counters.decodeErrors.add(*headers.pauseError);
        Logging::write(Logging::Level::Warning, "pause_unreadable",
            { { "upstream", upstream.value },
                { "error", Utils::enumName(Platform::decodeErrorNames, *headers.pauseError) } });
        return;
    }
    if (!headers.pause)
        return;
    UpstreamState& state = node.traffic.upstreamStates[upstream];
    if (std::exchange(state.pausedStartTimeMs, startTimeMs) != startTimeMs)
        state.pausedUntil = {};
    Utils::Instant& until = state.pausedUntil;
    const Utils::Instant at = now();
    const bool wasPaused = until > at;
    until = Balancing::extendPause(
        until, *headers.pause, Internal::phaseOf(upstream.value, node.incarnation), at);
    if (wasPaused || until <= at)
        return;
    Logging::write(Logging::Level::Info, "upstream_paused",
        { { "upstream", upstream.value }, { "named_ms", Utils::toMilliseconds(*headers.pause) },
            { "for_ms", Utils::toMilliseconds(until - at) } });
}

Utils::Instant pauseEnd(const Node& node, const Utils::UpstreamId& upstream)
{
    const auto state = node.traffic.upstreamStates.find(upstream);
    const auto known = node.clusterView.directory.entries.find(upstream);
    const bool isSameProcess = state != node.traffic.upstreamStates.end()
        && known != node.clusterView.directory.entries.end()
        && known->second.record.startTimeMs == state->second.pausedStartTimeMs;
    return isSameProcess ? state->second.pausedUntil : Utils::Instant {};
}

std::optional<Utils::Duration> removePaused(
    Node& node, const Exchange& exchange, std::vector<Balancing::Candidate>& candidates, Utils::Instant now)
{
    std::optional<Utils::Instant> firstEnd;
    std::erase_if(candidates, [&](const Balancing::Candidate& candidate) {
        const Utils::Instant until = pauseEnd(node, candidate.id);
        if (until <= now)
            return false;
        firstEnd = firstEnd ? std::min(*firstEnd, until) : until;
        return true;
    });
    if (!firstEnd)
        return std::nullopt;
    return Balancing::returnDelay(
        *firstEnd, Internal::phaseOf(exchange.callerHeaders.requestId.value, exchange.id), now);
}

std::size_t countPausedUpstreams(const Node& node)
{
    const Utils::Instant at = now();
    return static_cast<std::size_t>(
        std::count_if(node.traffic.upstreamStates.begin(), node.traffic.upstreamStates.end(),
            [&node, at](const auto& entry) { return pauseEnd(node, entry.first) > at; }));
}

} // namespace Edge
