#include <edge/clock.h>
#include <edge/crashreports.h>
#include <edge/losschecks.h>
#include <edge/relaylinks.h>
#include <edge/relaysource.h>
#include <edge/requestlog.h>
#include <logging/log.h>
#include <relay/framecodec.h>
#include <relay/relayerror.h>
#include <utils/hash.h>

#include <boost/leaf.hpp>

#include <algorithm>

namespace Edge {

namespace leaf = boost::leaf;

namespace Internal {

using ErrorCode = boost::system::error_code;
using Udp = boost::asio::ip::udp;
using Balancing::AttemptObservation;
using Kind = Relay::CrashReport::Kind;

/// Longer than it takes to notice that a relay source is unreachable, so that what was sent to it can be sent
/// again.
constexpr Utils::Duration reportRetention = std::chrono::seconds(3);
/// Datagrams may be lost, so that each report is sent several times, at the interval of the relay's timer.
constexpr unsigned datagramRepeats = 3;
/// Keeps a datagram below the smallest usual MTU.
constexpr std::size_t maxReportsPerDatagram = 16;
/// First crashes of requests that a VM reports; later ones of the same request are always reported.
constexpr double reportsPerSecond = 1;
constexpr double maxReportBurst = 5;
/// Reports of upstreams that live; each clears all requests of its upstream.
constexpr double lifeReportsPerSecond = 10;
constexpr double maxLifeReportBurst = 20;
constexpr std::size_t maxQueuedReports = 1024;
/// Upstreams that terminate silently are missing in the store a few heartbeats later, or are back by then.
constexpr Utils::Duration unresolvedRetention = std::chrono::seconds(8);
constexpr std::size_t maxUnresolvedAttempts = 512;
/// An attempt that is still in flight this long after its upstream is known to have ended counts as its
/// crash. The successor would have responded to most requests.
constexpr Utils::Duration vanishedAttemptGrace = std::chrono::seconds(1);
/// Number of suspects whose crashes a VM sends when it subscribes or is subscribed to.
constexpr std::size_t maxSharedSuspects = 512;
/// Time between the first trials of two VMs after a quarantine; longer than it takes to share a crash.
constexpr Utils::Duration trialSpacing = std::chrono::seconds(1);
/// Number of VMs that take turns with trials until the leader has reported the number.
constexpr std::uint32_t assumedVmCount = 32;

void queueReport(Node& node, Kind kind, const AttemptObservation& attempt, bool isOwn)
{
    std::deque<QueuedCrashReport>& queue = node.crashReporting.queue;
    if (queue.size() >= maxQueuedReports) {
        Logging::write(Logging::Level::Warning, "crash_report_dropped", { { "queued", queue.size() } });
        queue.pop_front();
    }
    queue.push_back({ kind, attempt, now(), false, isOwn, isOwn ? datagramRepeats : 0 });
}

Relay::CrashReport toReport(Kind kind, const AttemptObservation& attempt, Utils::Instant at)
{
    return { kind, attempt.id, attempt.fingerprint, attempt.upstream, at - attempt.sentAt,
        at - attempt.endedAt };
}

AttemptObservation toObservation(const Relay::CrashReport& report, Utils::Instant at)
{
    return { report.id, report.fingerprint, report.upstream, at - report.sentAge, at - report.endedAge,
        report.kind == Kind::ConfirmedCrash };
}

std::uint64_t makeObservationId(Node& node)
{
    return Utils::stableHash(std::to_string(++node.crashReporting.lastReportNumber), node.incarnation);
}

AttemptObservation observeLastAttempt(Node& node, const Exchange& exchange)
{
    AttemptObservation attempt;
    attempt.id = makeObservationId(node);
    attempt.fingerprint = exchange.fingerprint;
    attempt.upstream = Utils::stableHash(exchange.lastUpstream.value);
    attempt.sentAt = exchange.attemptStartedAt;
    attempt.endedAt = now();
    return attempt;
}

bool tryConsumeToken(
    double& tokens, Utils::Instant& tokensAt, double perSecond, double maxTokens, Utils::Instant at)
{
    const double earned = std::chrono::duration<double>(at - tokensAt).count() * perSecond;
    tokens = std::min(tokens + std::max(earned, 0.0), maxTokens);
    tokensAt = std::max(tokensAt, at);
    if (tokens < 1)
        return false;
    tokens -= 1;
    return true;
}

/// Whether one more first crash of a request may be reported now.
///
/// Load pattern: many upstreams or links fail at once, and each VM loses hundreds of connections with other
/// requests. Reporting all would fill the links between regions.
bool tryConsumeReport(Node& node, Utils::Instant at)
{
    CrashReporting& reporting = node.crashReporting;
    return tryConsumeToken(reporting.tokens, reporting.tokensAt, reportsPerSecond, maxReportBurst, at);
}

/// Tells the other VMs that an upstream to which they may have lost connections lives.
void reportLife(Node& node, std::uint64_t upstream, const Balancing::LifeSpan& life)
{
    CrashReporting& reporting = node.crashReporting;
    if (!tryConsumeToken(
            reporting.lifeTokens, reporting.lifeTokensAt, lifeReportsPerSecond, maxLifeReportBurst, now()))
        return;
    AttemptObservation observation;
    observation.id = makeObservationId(node);
    observation.upstream = upstream;
    observation.sentAt = life.from;
    observation.endedAt = life.until;
    queueReport(node, Kind::Life, observation, true);
}

/// Whether other VMs know \a crash. Those of losses that are being checked are not reported yet.
bool isShared(const Node& node, const AttemptObservation& crash)
{
    const auto matches = [&crash](const AttemptObservation& attempt) { return attempt.id == crash.id; };
    return std::none_of(
        node.traffic.lossChecks.begin(), node.traffic.lossChecks.end(), [&matches](const auto& entry) {
            return std::any_of(entry.second->attempts.begin(), entry.second->attempts.end(), matches);
        });
}

void reportCrash(Node& node, const AttemptObservation& attempt)
{
    const std::size_t crashes = Balancing::countCrashes(node.traffic.poisonRequests, attempt.fingerprint);
    if (crashes > 1 || tryConsumeReport(node, now()))
        queueReport(node, attempt.isConfirmed ? Kind::ConfirmedCrash : Kind::Crash, attempt, true);
}

void recordConfirmedCrash(Node& node, AttemptObservation attempt, const Utils::UpstreamId& upstream,
    const Utils::RequestId& request)
{
    attempt.isConfirmed = true;
    Balancing::PoisonRequestTracker& tracker = node.traffic.poisonRequests;
    if (!Balancing::recordCrash(tracker, attempt))
        return;
    logCrash(request, attempt.fingerprint, upstream, Balancing::countCrashes(tracker, attempt.fingerprint));
    reportCrash(node, attempt);
}

/// Counts the current attempt of \a exchange, whose upstream is known to have ended, as its crash.
void recordVanishedAttempt(Node& node, const Exchange& exchange)
{
    recordConfirmedCrash(
        node, observeLastAttempt(node, exchange), exchange.lastUpstream, exchange.callerHeaders.requestId);
}

/// Whether connections to several upstreams were lost during \a attempt: links may have failed.
bool isAmongOtherLosses(
    const Node& node, const Utils::UpstreamId& upstream, const AttemptObservation& attempt)
{
    return std::any_of(
        node.traffic.lossChecks.begin(), node.traffic.lossChecks.end(), [&](const auto& entry) {
            return entry.first != upstream
                && std::any_of(entry.second->attempts.begin(), entry.second->attempts.end(),
                    [&attempt](const AttemptObservation& other) { return attempt.sentAt <= other.endedAt; });
        });
}

void keepUnresolved(Node& node, const UnresolvedAttempt& attempt)
{
    std::deque<UnresolvedAttempt>& attempts = node.traffic.unresolvedAttempts;
    while (!attempts.empty()
        && (attempts.size() >= maxUnresolvedAttempts
            || now() - attempts.front().endedAt > unresolvedRetention))
        attempts.pop_front();
    attempts.push_back(attempt);
}

/// Links to the source and to subscribers that have been set up.
std::vector<LinkPtr> establishedLinks(const Node& node)
{
    std::vector<LinkPtr> links;
    if (node.relay.sourceLink && node.relay.sourceLink->subscribed)
        links.push_back(node.relay.sourceLink);
    for (auto it = node.relay.subscribers.begin(); it != node.relay.subscribers.end(); ++it) {
        if (it->second->subscribed)
            links.push_back(it->second);
    }
    return links;
}

void sendOverLinks(Node& node, Utils::Instant at)
{
    const std::vector<LinkPtr> links = establishedLinks(node);
    if (links.empty())
        return;
    Relay::CrashReportFrame frame;
    for (QueuedCrashReport& queued : node.crashReporting.queue) {
        if (!std::exchange(queued.sentOverLinks, true))
            frame.reports.push_back(toReport(queued.kind, queued.attempt, at));
    }
    if (frame.reports.empty())
        return;
    const std::string bytes = Relay::encodeFrame(frame);
    for (const LinkPtr& link : links)
        sendFrame(node, link, bytes);
}

/// The members that the next datagram goes to, others each time.
std::vector<std::string> nextTargets(Node& node)
{
    std::vector<std::string> others;
    for (auto it = node.relay.members.begin(); it != node.relay.members.end(); ++it) {
        if (it->first != node.settings.address)
            others.push_back(it->first);
    }
    std::vector<std::string> targets;
    const std::size_t count = std::min(others.size(), Relay::maxDatagramTargets);
    for (std::size_t index = 0; index < count; ++index)
        targets.push_back(others[(node.crashReporting.datagramsSent + index) % others.size()]);
    node.crashReporting.datagramsSent += count;
    return targets;
}

/// Returns false if the VM has sent too much already.
bool sendToMembers(Node& node, const Relay::CrashReportFrame& frame, Utils::Instant at)
{
    const std::string bytes = Relay::encodeFrame(frame);
    const std::size_t targetCount = std::min(node.relay.members.size(), Relay::maxDatagramTargets);
    if (!Relay::tryConsume(node.crashReporting.datagramBudget, bytes.size() * targetCount, at)) {
        ++node.counters.delayedCrashDatagrams;
        return false;
    }
    node.counters.crashDatagramBytes += bytes.size() * targetCount;
    ErrorCode firstError;
    for (const std::string& address : nextTargets(node)) {
        ErrorCode error;
        const Udp::endpoint target(
            boost::asio::ip::make_address(address, error), node.settings.firstInternalPort);
        if (!error)
            node.crashReporting.socket.send_to(boost::asio::buffer(bytes), target, 0, error);
        if (error && !firstError)
            firstError = error;
    }
    if (firstError)
        Logging::write(
            Logging::Level::Warning, "crash_report_not_sent", { { "error", firstError.message() } });
    return true;
}

/// The reports that are to be sent in datagrams, crashes before what withdraws them: a request that crashes
/// upstreams must not reach more of them.
std::vector<QueuedCrashReport*> pendingInDatagrams(std::deque<QueuedCrashReport>& queue)
{
    std::vector<QueuedCrashReport*> pending;
    for (QueuedCrashReport& queued : queue) {
        if (queued.datagramsLeft > 0)
            pending.push_back(&queued);
    }
    std::stable_partition(pending.begin(), pending.end(), [](const QueuedCrashReport* queued) {
        return queued->kind == Kind::Crash || queued->kind == Kind::ConfirmedCrash;
    });
    return pending;
}

/// Sends what the budget allows; the rest stays in the queue.
void sendInDatagrams(Node& node, Utils::Instant at)
{
    const std::vector<QueuedCrashReport*> pending = pendingInDatagrams(node.crashReporting.queue);
    for (std::size_t first = 0; first < pending.size(); first += maxReportsPerDatagram) {
        const std::size_t last = std::min(first + maxReportsPerDatagram, pending.size());
        Relay::CrashReportFrame frame;
        for (std::size_t index = first; index < last; ++index)
            frame.reports.push_back(toReport(pending[index]->kind, pending[index]->attempt, at));
        if (!sendToMembers(node, frame, at))
            return;
        for (std::size_t index = first; index < last; ++index)
            --pending[index]->datagramsLeft;
    }
}

void receiveDatagram(Node& node)
{
    CrashReporting& reporting = node.crashReporting;
    reporting.socket.async_receive_from(boost::asio::buffer(reporting.receiveBuffer), reporting.sender,
        [&node](const ErrorCode& error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted)
                return;
            std::string bytes(node.crashReporting.receiveBuffer.data(), error ? 0 : size);
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(frame, Relay::extractFrame(bytes));
                    const Relay::CrashReportFrame* const reports
                        = frame ? std::get_if<Relay::CrashReportFrame>(&*frame) : nullptr;
                    if (reports)
                        handleCrashReports(node, *reports, true);
                    return {};
                },
                [](Relay::RelayError decodeError) {
                    Logging::write(Logging::Level::Warning, "crash_report_unreadable",
                        { { "error", Utils::enumName(Relay::relayErrorNames, decodeError) } });
                },
                []() {});
            receiveDatagram(node);
        });
}

/// Records a report of another VM. Returns whether it was not known.
bool applyReport(Node& node, Kind kind, const AttemptObservation& attempt, Utils::Duration age)
{
    Balancing::PoisonRequestTracker& tracker = node.traffic.poisonRequests;
    if (kind == Kind::Response)
        return Balancing::recordResponse(tracker, attempt);
    if (kind == Kind::Life) {
        const std::size_t withdrawn
            = Balancing::recordReportedLife(tracker, attempt.upstream, { attempt.sentAt, attempt.endedAt })
                  .size();
        if (withdrawn > 0)
            logCrashesWithdrawn(attempt.upstream, withdrawn, true);
        return withdrawn > 0;
    }
    if (const std::optional<Balancing::LifeSpan> life = Balancing::findRefutation(tracker, attempt)) {
        reportLife(node, attempt.upstream, *life);
        return false;
    }
    if (!Balancing::recordCrash(tracker, attempt))
        return false;
    logReportedCrash(attempt.fingerprint, Balancing::countCrashes(tracker, attempt.fingerprint), age);
    return true;
}

void sendKnownCrashes(Node& node, const LinkPtr& link)
{
    const Utils::Instant at = now();
    Relay::CrashReportFrame frame;
    for (const AttemptObservation& crash :
        Balancing::collectCrashes(node.traffic.poisonRequests, maxSharedSuspects))
        frame.reports.push_back(toReport(crash.isConfirmed ? Kind::ConfirmedCrash : Kind::Crash, crash, at));
    if (!frame.reports.empty())
        sendFrame(node, link, Relay::encodeFrame(frame));
}

} // namespace Internal

void startCrashReports(Node& node)
{
    const Internal::Udp::endpoint local(
        boost::asio::ip::make_address(node.settings.address), node.settings.firstInternalPort);
    node.crashReporting.socket.open(local.protocol());
    node.crashReporting.socket.bind(local);
    node.crashReporting.socket.non_blocking(true);
    Internal::receiveDatagram(node);
}

void recordConnectionLost(Node& node, const Exchange& exchange)
{
    if (exchange.upstreamVanishedAt) {
        Internal::recordVanishedAttempt(node, exchange);
        return;
    }
    const Balancing::AttemptObservation attempt = Internal::observeLastAttempt(node, exchange);
    const Utils::UpstreamId& upstream = exchange.lastUpstream;
    Balancing::PoisonRequestTracker& tracker = node.traffic.poisonRequests;
    const bool counts = node.reachProbing.reach.state == Balancing::ReachState::Reaching
        && !Internal::isAmongOtherLosses(node, upstream, attempt);
    if (counts && Balancing::recordCrash(tracker, attempt))
        logCrash(exchange.callerHeaders.requestId, attempt.fingerprint, upstream,
            Balancing::countCrashes(tracker, attempt.fingerprint));
    startLossCheck(node, upstream, attempt);
}

void concludeLoss(Node& node, const LossCheck& check, Balancing::LossVerdict verdict)
{
    Balancing::PoisonRequestTracker& tracker = node.traffic.poisonRequests;
    for (const Balancing::AttemptObservation& attempt : check.attempts) {
        const bool crashed = verdict == Balancing::LossVerdict::Crashed;
        if (!crashed) {
            Balancing::withdrawCrash(tracker, attempt.fingerprint, attempt.id);
            Internal::keepUnresolved(
                node, { check.upstream, attempt.fingerprint, attempt.sentAt, attempt.endedAt });
        } else if (Balancing::recordCrash(tracker, attempt) || Balancing::isCounted(tracker, attempt)) {
            Internal::reportCrash(node, attempt);
        }
    }
    logLossChecked(check, verdict);
    if (verdict == Balancing::LossVerdict::Lives)
        recordUpstreamLife(node, check.upstream, check.probedAt, check.probedAt);
}

void recordUpstreamLife(
    Node& node, const Utils::UpstreamId& upstream, Utils::Instant connectedAt, Utils::Instant sentAt)
{
    Balancing::PoisonRequestTracker& tracker = node.traffic.poisonRequests;
    const std::uint64_t hash = Utils::stableHash(upstream.value);
    const std::vector<Balancing::AttemptObservation> withdrawn
        = Balancing::recordLife(tracker, hash, connectedAt, sentAt);
    const bool isShared = std::any_of(withdrawn.begin(), withdrawn.end(),
        [&node](const Balancing::AttemptObservation& crash) { return Internal::isShared(node, crash); });
    if (isShared)
        Internal::reportLife(node, hash, tracker.lives.at(hash));
    if (!withdrawn.empty())
        logCrashesWithdrawn(hash, withdrawn.size(), false);
}

void recordAbandonedAttempt(Node& node, const Exchange& exchange)
{
    if (exchange.upstreamVanishedAt) {
        Internal::recordVanishedAttempt(node, exchange);
        return;
    }
    Internal::keepUnresolved(
        node, { exchange.lastUpstream, exchange.fingerprint, exchange.attemptStartedAt, now() });
}

void recordUpstreamVanished(Node& node, const Utils::UpstreamId& upstream)
{
    std::deque<UnresolvedAttempt>& attempts = node.traffic.unresolvedAttempts;
    const Utils::Instant at = now();
    for (const UnresolvedAttempt& attempt : attempts) {
        if (attempt.upstream != upstream || at - attempt.endedAt > Internal::unresolvedRetention)
            continue;
        Balancing::AttemptObservation observation;
        observation.id = Internal::makeObservationId(node);
        observation.fingerprint = attempt.fingerprint;
        observation.upstream = Utils::stableHash(upstream.value);
        observation.sentAt = attempt.sentAt;
        observation.endedAt = attempt.endedAt;
        Internal::recordConfirmedCrash(node, observation, upstream, {});
    }
    std::erase_if(
        attempts, [&upstream](const UnresolvedAttempt& attempt) { return attempt.upstream == upstream; });
    // An attempt in flight may have reached the successor of the process that ended.
    for (auto it = node.traffic.exchanges.begin(); it != node.traffic.exchanges.end(); ++it) {
        Exchange& exchange = *it->second;
        if (exchange.connectionId != 0 && exchange.lastUpstream == upstream)
            exchange.upstreamVanishedAt = at;
    }
    node.crashReporting.lastVanishedAt = at;
}

void countVanishedAttempts(Node& node)
{
    const Utils::Instant at = now();
    if (at - node.crashReporting.lastVanishedAt > 2 * Internal::vanishedAttemptGrace)
        return;
    for (auto it = node.traffic.exchanges.begin(); it != node.traffic.exchanges.end(); ++it) {
        Exchange& exchange = *it->second;
        if (exchange.connectionId == 0 || !exchange.upstreamVanishedAt
            || at - *exchange.upstreamVanishedAt < Internal::vanishedAttemptGrace)
            continue;
        Internal::recordVanishedAttempt(node, exchange);
        exchange.upstreamVanishedAt.reset();
    }
}

void recordUpstreamResponse(Node& node, const Exchange& exchange)
{
    if (Balancing::countCrashes(node.traffic.poisonRequests, exchange.fingerprint) == 0)
        return;
    const Balancing::AttemptObservation attempt = Internal::observeLastAttempt(node, exchange);
    if (Balancing::recordResponse(node.traffic.poisonRequests, attempt))
        Internal::queueReport(node, Relay::CrashReport::Kind::Response, attempt, true);
}

std::optional<Utils::Duration> quarantineLeft(const Node& node, std::uint64_t fingerprint)
{
    const std::uint32_t vmCount = node.relay.vmCount > 0 ? node.relay.vmCount : Internal::assumedVmCount;
    const std::uint64_t slot = Utils::stableHash(node.settings.name.value, fingerprint) % vmCount;
    return Balancing::quarantineLeft(node.traffic.poisonRequests, fingerprint, now(),
        Internal::trialSpacing * static_cast<std::int64_t>(slot));
}

void handleCrashReports(Node& node, const Relay::CrashReportFrame& frame, bool inDatagram)
{
    const Utils::Instant at = now();
    for (const Relay::CrashReport& report : frame.reports) {
        const Balancing::AttemptObservation attempt = Internal::toObservation(report, at);
        const bool isNew = Internal::applyReport(node, report.kind, attempt, report.endedAge);
        // A VM without subscribers would only return the report to its source.
        const bool isPassedOn = inDatagram || !node.relay.subscribers.empty();
        if (isNew && isPassedOn)
            Internal::queueReport(node, report.kind, attempt, false);
    }
}

void flushCrashReports(Node& node)
{
    countVanishedAttempts(node);
    std::deque<QueuedCrashReport>& queue = node.crashReporting.queue;
    if (queue.empty())
        return;
    const Utils::Instant at = now();
    Internal::sendOverLinks(node, at);
    const bool hasSource = node.relay.sourceLink && node.relay.sourceLink->subscribed;
    if (!hasSource && !Granting::holdsLeaderLease(node.leader.leadership, at))
        Internal::sendInDatagrams(node, at);
    while (!queue.empty() && at - queue.front().queuedAt > Internal::reportRetention)
        queue.pop_front();
}

void resendCrashReports(Node& node)
{
    for (QueuedCrashReport& queued : node.crashReporting.queue)
        queued.datagramsLeft = queued.isOwn ? Internal::datagramRepeats : 0;
}

} // namespace Edge
