#include <edge/clock.h>
#include <edge/crashreports.h>
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
constexpr std::size_t maxDatagramTargets = 256;
constexpr std::size_t maxQueuedReports = 1024;
/// Upstreams that terminate silently are missing in the store a few heartbeats later, or are back by then.
constexpr Utils::Duration unresolvedRetention = std::chrono::seconds(8);
constexpr std::size_t maxUnresolvedAttempts = 512;
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
    return { report.id, report.fingerprint, report.upstream, at - report.sentAge, at - report.endedAge };
}

AttemptObservation observeLastAttempt(Node& node, const Exchange& exchange)
{
    AttemptObservation attempt;
    attempt.id = Utils::stableHash(std::to_string(++node.crashReporting.lastReportNumber), node.incarnation);
    attempt.fingerprint = exchange.fingerprint;
    attempt.upstream = Utils::stableHash(exchange.lastUpstream.value);
    attempt.sentAt = exchange.attemptStartedAt;
    attempt.endedAt = now();
    return attempt;
}

/// Whether one more first crash of a request may be reported now.
///
/// Load pattern: many upstreams or links fail at once, and each VM loses hundreds of connections with other
/// requests. Reporting all would fill the links between regions.
bool tryConsumeReport(Node& node, Utils::Instant at)
{
    CrashReporting& reporting = node.crashReporting;
    const double earned = std::chrono::duration<double>(at - reporting.tokensAt).count() * reportsPerSecond;
    reporting.tokens = std::min(reporting.tokens + std::max(earned, 0.0), maxReportBurst);
    reporting.tokensAt = std::max(reporting.tokensAt, at);
    if (reporting.tokens < 1)
        return false;
    reporting.tokens -= 1;
    return true;
}

void recordObservedCrash(Node& node, const AttemptObservation& attempt, const Utils::UpstreamId& upstream,
    const Utils::RequestId& request)
{
    Balancing::PoisonRequestTracker& tracker = node.traffic.poisonRequests;
    if (!Balancing::recordCrash(tracker, attempt))
        return;
    logCrash(request, attempt.fingerprint, upstream, Balancing::countCrashes(tracker, attempt.fingerprint));
    const std::size_t crashes = Balancing::countCrashes(tracker, attempt.fingerprint);
    if (crashes > 1 || tryConsumeReport(node, attempt.endedAt))
        queueReport(node, Kind::Crash, attempt, true);
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

void sendToMembers(Node& node, const Relay::CrashReportFrame& frame)
{
    const std::string bytes = Relay::encodeFrame(frame);
    ErrorCode firstError;
    std::size_t targets = 0;
    for (auto it = node.relay.members.begin(); it != node.relay.members.end(); ++it) {
        if (it->first == node.settings.address)
            continue;
        if (++targets > maxDatagramTargets)
            break;
        ErrorCode error;
        const Udp::endpoint target(
            boost::asio::ip::make_address(it->first, error), node.settings.firstInternalPort);
        if (!error)
            node.crashReporting.socket.send_to(boost::asio::buffer(bytes), target, 0, error);
        if (error && !firstError)
            firstError = error;
    }
    if (firstError)
        Logging::write(
            Logging::Level::Warning, "crash_report_not_sent", { { "error", firstError.message() } });
}

void sendInDatagrams(Node& node, Utils::Instant at)
{
    Relay::CrashReportFrame frame;
    for (QueuedCrashReport& queued : node.crashReporting.queue) {
        if (queued.datagramsLeft == 0)
            continue;
        --queued.datagramsLeft;
        frame.reports.push_back(toReport(queued.kind, queued.attempt, at));
        if (frame.reports.size() < maxReportsPerDatagram)
            continue;
        sendToMembers(node, frame);
        frame.reports.clear();
    }
    if (!frame.reports.empty())
        sendToMembers(node, frame);
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
        frame.reports.push_back(toReport(Kind::Crash, crash, at));
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

void recordUpstreamCrash(Node& node, const Exchange& exchange)
{
    Internal::recordObservedCrash(node, Internal::observeLastAttempt(node, exchange), exchange.lastUpstream,
        exchange.callerHeaders.requestId);
}

void recordAbandonedAttempt(Node& node, const Exchange& exchange)
{
    std::deque<UnresolvedAttempt>& attempts = node.traffic.unresolvedAttempts;
    const Utils::Instant at = now();
    while (!attempts.empty()
        && (attempts.size() >= Internal::maxUnresolvedAttempts
            || at - attempts.front().endedAt > Internal::unresolvedRetention))
        attempts.pop_front();
    attempts.push_back({ exchange.lastUpstream, exchange.fingerprint, exchange.attemptStartedAt, at });
}

void recordUpstreamVanished(Node& node, const Utils::UpstreamId& upstream)
{
    std::deque<UnresolvedAttempt>& attempts = node.traffic.unresolvedAttempts;
    const Utils::Instant at = now();
    for (const UnresolvedAttempt& attempt : attempts) {
        if (attempt.upstream != upstream || at - attempt.endedAt > Internal::unresolvedRetention)
            continue;
        Balancing::AttemptObservation observation;
        observation.id
            = Utils::stableHash(std::to_string(++node.crashReporting.lastReportNumber), node.incarnation);
        observation.fingerprint = attempt.fingerprint;
        observation.upstream = Utils::stableHash(upstream.value);
        observation.sentAt = attempt.sentAt;
        observation.endedAt = attempt.endedAt;
        Internal::recordObservedCrash(node, observation, upstream, {});
    }
    for (auto it = node.traffic.exchanges.begin(); it != node.traffic.exchanges.end(); ++it) {
        const Exchange& exchange = *it->second;
        if (exchange.connectionId != 0 && exchange.lastUpstream == upstream)
            recordUpstreamCrash(node, exchange);
    }
    std::erase_if(
        attempts, [&upstream](const UnresolvedAttempt& attempt) { return attempt.upstream == upstream; });
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
