#include <balancing/loadmodel.h>
#include <balancing/probetargets.h>
#include <edge/clock.h>
#include <edge/exchangesteps.h>
#include <edge/loadprobes.h>
#include <edge/sockets.h>
#include <edge/upstreamreach.h>
#include <platform/headers.h>
#include <platform/healthcalls.h>
#include <utils/hash.h>

#include <algorithm>

namespace Edge {

namespace Internal {

/// How long a request waits for the response to a probe: several round trips, or a new connection.
constexpr Utils::Duration nearProbeWait = std::chrono::milliseconds(25);
constexpr Utils::Duration farProbeWait = std::chrono::milliseconds(120);
/// A new connection to an upstream whose slots are all taken is served late. It is kept for later probes.
constexpr Utils::Duration probeTimeout = std::chrono::seconds(1);
/// What an upstream has told within this time needs no probe.
constexpr Utils::Duration maxReportAge = std::chrono::milliseconds(15);
/// Health responses have no body to speak of.
constexpr std::uint64_t maxHealthResponseBytes = 4096;

/// Whether the upstreams of the service answer probes at once. Those that state how long work takes do.
bool isProbed(const Exchange& exchange, const Balancing::ServiceStats& stats)
{
    return stats.reportsWorkFactor && !exchange.service->keyed && !exchange.service->healthPath.empty();
}

void finishProbes(Node& node, const std::shared_ptr<Exchange>& exchange)
{
    cancelTimer(exchange->probing.timer);
    exchange->probing.pending = 0;
    ++exchange->probing.batch;
    startNextAttempt(node, exchange);
}

void handleProbeResponse(Node& node, std::uint64_t exchangeId, std::uint64_t batch,
    const Utils::UpstreamId& upstream, const CallResponse& response)
{
    const std::optional<Routing::ReportedLoad> reported = response.outcome == CallOutcome::Responded
        ? Platform::parseServerHeaders(response.status, response.fields).load
        : std::nullopt;
    node.traffic.upstreamStates[upstream].isProbePending = false;
    const auto entry = node.clusterView.directory.entries.find(upstream);
    if (reported && entry != node.clusterView.directory.entries.end())
        Balancing::recordProbedLoad(node.traffic.upstreamStates[upstream].load,
            node.traffic.serviceStats[entry->second.record.service], *reported, now());
    else
        ++node.counters.unansweredProbes;
    if (response.outcome != CallOutcome::Responded)
        Balancing::recordUnansweredProbe(node.traffic.upstreamStates[upstream].load, now());
    const auto found = node.traffic.exchanges.find(exchangeId);
    if (found == node.traffic.exchanges.end() || found->second->probing.batch != batch)
        return;
    const std::shared_ptr<Exchange> exchange = found->second;
    if (reported)
        exchange->probing.answered.insert(upstream);
    if (--exchange->probing.pending == 0)
        finishProbes(node, exchange);
}

void startProbe(Node& node, const std::shared_ptr<Exchange>& exchange, const Balancing::Candidate& candidate)
{
    const Routing::Endpoint endpoint = node.clusterView.directory.entries.at(candidate.id).record.endpoint;
    ++node.counters.loadProbes;
    node.traffic.upstreamStates[candidate.id].isProbePending = true;
    startCall(
        node.calls, upstreamEndpoint(node, endpoint),
        Platform::makeHealthRequest(endpoint, exchange->service->healthPath), probeTimeout,
        [&node, id = exchange->id, batch = exchange->probing.batch, upstream = candidate.id](
            const CallResponse& response) { handleProbeResponse(node, id, batch, upstream, response); },
        maxHealthResponseBytes);
}

/// Whether an upstream that has told its load can begin the request at once.
bool hasFreeSlot(
    const Exchange& exchange, const Balancing::Candidate& candidate, const Balancing::ServiceStats& stats)
{
    return exchange.probing.answered.contains(candidate.id)
        && Balancing::estimateLoad(*candidate.load, stats, now()) < candidate.slots;
}

} // namespace Internal

bool probeCandidates(Node& node, const std::shared_ptr<Exchange>& exchange,
    const std::vector<Balancing::Candidate>& candidates, Utils::Instant now)
{
    Probing& probing = exchange->probing;
    const Balancing::ServiceStats& stats = node.traffic.serviceStats[exchange->service->id];
    if (!Internal::isProbed(*exchange, stats) || probing.rounds >= Balancing::maxProbeRounds
        || candidates.size() < Balancing::probesPerRound)
        return false;
    if (std::any_of(candidates.begin(), candidates.end(), [&](const Balancing::Candidate& candidate) {
            return Internal::hasFreeSlot(*exchange, candidate, stats);
        }))
        return false;
    Balancing::ProbeRequest request;
    request.vmSeed = Utils::stableHash(node.settings.name.value);
    request.requestSeed = exchange->id ^ node.incarnation;
    request.round = probing.rounds;
    request.asked = probing.asked;
    ++probing.rounds;
    ++probing.batch;
    Utils::Duration wait {};
    std::vector<std::size_t> unknown;
    for (const std::size_t position : Balancing::chooseProbeTargets(candidates, request, now)) {
        const Balancing::Candidate& candidate = candidates[position];
        probing.asked.insert(candidate.id);
        if (now - candidate.load->loadReportedAt <= Internal::maxReportAge) {
            probing.answered.insert(candidate.id);
            continue;
        }
        if (node.traffic.upstreamStates[candidate.id].isProbePending)
            continue;
        unknown.push_back(position);
        wait = std::max(wait,
            candidate.distance == Balancing::Distance::OtherRegion ? Internal::farProbeWait
                                                                   : Internal::nearProbeWait);
    }
    if (unknown.empty())
        return probeCandidates(node, exchange, candidates, now);
    probing.pending = static_cast<unsigned>(unknown.size());
    for (const std::size_t position : unknown)
        Internal::startProbe(node, exchange, candidates[position]);
    startTimer(probing.timer, wait, [&node, exchange, batch = probing.batch] {
        if (node.traffic.exchanges.contains(exchange->id) && exchange->probing.batch == batch)
            Internal::finishProbes(node, exchange);
    });
    return true;
}

void keepProbed(const Exchange& exchange, std::vector<Balancing::Candidate>& candidates)
{
    const auto isAnswered = [&exchange](const Balancing::Candidate& candidate) {
        return exchange.probing.answered.contains(candidate.id);
    };
    if (std::any_of(candidates.begin(), candidates.end(), isAnswered))
        std::erase_if(
            candidates, [&](const Balancing::Candidate& candidate) { return !isAnswered(candidate); });
}

void endProbing(Exchange& exchange)
{
    cancelTimer(exchange.probing.timer);
    exchange.probing.rounds = 0;
    exchange.probing.pending = 0;
    ++exchange.probing.batch;
    exchange.probing.asked.clear();
    exchange.probing.answered.clear();
}

} // namespace Edge
