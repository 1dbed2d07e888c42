#include <balancing/upstreamreach.h>
#include <edge/clock.h>
#include <edge/crashreports.h>
#include <edge/losschecks.h>
#include <edge/upstreamreach.h>

#include <algorithm>
#include <functional>

namespace Edge {

namespace Internal {

using ErrorCode = boost::system::error_code;
using LossCheckPtr = std::shared_ptr<LossCheck>;

/// A process that terminates closes its sockets one after the other.
constexpr Utils::Duration firstProbeDelay = std::chrono::milliseconds(20);
/// Other upstreams that are probed one after the other until one accepts.
constexpr std::size_t maxOtherProbes = 2;
/// Losses beyond this are not counted unless the store shows that the upstream ended.
constexpr std::size_t maxLossChecks = 64;

void concludeCheck(Node& node, const LossCheckPtr& check)
{
    node.traffic.lossChecks.erase(check->upstream);
    concludeLoss(node, *check, Balancing::judgeLoss(check->evidence));
}

using ProbeHandler = std::function<void(bool accepted)>;
using RefusalHandler = std::function<void()>;

void connectProbe(
    Node& node, const LossCheckPtr& check, const Routing::Endpoint& endpoint, const ProbeHandler& handler)
{
    check->probedAt = now();
    ++node.counters.newConnections;
    const auto end = [&node, check, handler](bool accepted) {
        cancelTimer(check->timer);
        ErrorCode ignored;
        check->socket.close(ignored);
        if (accepted)
            recordUpstreamConnected(node);
        handler(accepted);
    };
    startTimer(check->timer, Balancing::probeTimeout, [end] { end(false); });
    const std::uint64_t generation = check->timer.generation;
    check->socket.async_connect(
        toTcpEndpoint(upstreamEndpoint(node, endpoint)), [check, generation, end](const ErrorCode& error) {
            if (check->timer.generation == generation)
                end(!error);
        });
}

/// The entry of \a upstream, also while it drains, unless another one has its address.
const Routing::DirectoryEntry* findRunning(const Node& node, const Utils::UpstreamId& upstream)
{
    const auto found = node.clusterView.directory.entries.find(upstream);
    return found == node.clusterView.directory.entries.end() || found->second.isTerminated ? nullptr
                                                                                           : &found->second;
}

/// The usable upstream with no check in progress that has responded last, save \a skipped of them.
const Routing::DirectoryEntry* chooseOther(const Node& node, std::size_t skipped)
{
    std::vector<std::pair<Utils::Instant, const Routing::DirectoryEntry*>> others;
    const Routing::UpstreamDirectory& directory = node.clusterView.directory;
    for (auto it = directory.entries.begin(); it != directory.entries.end(); ++it) {
        const auto state = node.traffic.upstreamStates.find(it->first);
        if (Routing::isUsable(it->second) && !node.traffic.lossChecks.contains(it->first))
            others.emplace_back(state == node.traffic.upstreamStates.end()
                    ? Utils::Instant {}
                    : state->second.load.lastResponseAt,
                &it->second);
    }
    std::sort(others.begin(), others.end(), std::greater<>());
    return skipped < others.size() ? others[skipped].second : nullptr;
}

void probeAgain(Node& node, const LossCheckPtr& check);

void probeOther(Node& node, const LossCheckPtr& check)
{
    const Routing::DirectoryEntry* const other
        = check->otherProbes < maxOtherProbes ? chooseOther(node, check->otherProbes) : nullptr;
    if (!other) {
        concludeCheck(node, check);
        return;
    }
    ++check->otherProbes;
    connectProbe(node, check, other->record.endpoint, [&node, check](bool accepted) {
        check->evidence.otherAccepted = accepted;
        if (accepted)
            probeAgain(node, check);
        else
            probeOther(node, check);
    });
}

void probeUpstream(Node& node, const LossCheckPtr& check, const RefusalHandler& refused)
{
    const Routing::DirectoryEntry* const entry = findRunning(node, check->upstream);
    if (!entry) {
        refused();
        return;
    }
    connectProbe(node, check, entry->record.endpoint, [&node, check, refused](bool accepted) {
        if (!accepted) {
            refused();
            return;
        }
        check->evidence.acceptedAfter = check->probedAt - check->attempts.front().sentAt;
        concludeCheck(node, check);
    });
}

void probeAgain(Node& node, const LossCheckPtr& check)
{
    probeUpstream(node, check, [&node, check] { concludeCheck(node, check); });
}

} // namespace Internal

void startLossCheck(
    Node& node, const Utils::UpstreamId& upstream, const Balancing::AttemptObservation& attempt)
{
    const auto found = node.traffic.lossChecks.find(upstream);
    if (found != node.traffic.lossChecks.end()) {
        found->second->attempts.push_back(attempt);
        return;
    }
    const Internal::LossCheckPtr check = std::make_shared<LossCheck>(node.context);
    check->upstream = upstream;
    check->attempts.push_back(attempt);
    if (isReachLost(node) || node.traffic.lossChecks.size() >= Internal::maxLossChecks) {
        concludeLoss(node, *check, Balancing::LossVerdict::Unknown);
        return;
    }
    node.traffic.lossChecks.emplace(upstream, check);
    startTimer(check->timer, Internal::firstProbeDelay, [&node, check] {
        Internal::probeUpstream(node, check, [&node, check] { Internal::probeOther(node, check); });
    });
}

} // namespace Edge
