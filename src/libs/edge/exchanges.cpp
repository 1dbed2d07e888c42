#include <balancing/admission.h>
#include <balancing/chooseupstream.h>
#include <balancing/decidenext.h>
#include <balancing/loadmodel.h>
#include <edge/callers.h>
#include <edge/candidates.h>
#include <edge/clock.h>
#include <edge/exchanges.h>
#include <edge/requestlog.h>
#include <edge/upstreams.h>
#include <platform/headers.h>
#include <utils/hash.h>

#include <algorithm>

namespace Edge {

namespace http = boost::beast::http;

namespace Internal {

using ErrorCode = boost::system::error_code;
using ExchangePtr = std::shared_ptr<Exchange>;
using Balancing::AttemptEnd;
using Balancing::NextStep;

/// Longest wait for a holder of a key; a move with a handover takes about as long as the work that runs on
/// the key.
constexpr Utils::Duration longestPark = std::chrono::milliseconds(450);
/// Wait before a key's holder is tried again that said it does not hold the key.
constexpr Utils::Duration misdirectedWait = std::chrono::milliseconds(120);
/// When callers may come back from what is likely to be mended soon.
constexpr Utils::Duration soon = std::chrono::milliseconds(300);
/// A caller whose deadline is this much shorter than others' on its route has tried before.
constexpr Utils::Duration firstAttemptSlack = std::chrono::milliseconds(60);
/// Deadline of a caller that names none.
constexpr Utils::Duration untoldDeadline = std::chrono::seconds(30);
/// An attempt may take this many times its expected time, and at least the floor, before another is begun.
constexpr int attemptTimes = 4;
constexpr Utils::Duration shortestAttempt = std::chrono::milliseconds(500);
/// Part of the VM's memory that held request bodies may fill.
constexpr std::uint64_t heldMemoryPart = 4;
/// Weight of a new answer in a route's mean size.
constexpr double sizeWeight = 0.1;
/// Part of the retry budget that is used, for VMs whose requests and windows are counted a little
/// differently.
constexpr double budgetShare = 0.8;
/// VMs that are taken to share the budget while the leader has not told how many there are.
constexpr std::uint32_t untoldVms = 32;

void removeExchange(Node& node, const ExchangePtr& exchange)
{
    exchange->deadlineTimer.cancel();
    exchange->waitTimer.cancel();
    node.traffic.heldBytes
        -= std::min<std::uint64_t>(node.traffic.heldBytes, exchange->request.body().size());
    node.traffic.exchanges.erase(exchange->id);
}

bool isActive(const Node& node, const Exchange& exchange)
{
    return node.traffic.exchanges.contains(exchange.id);
}

void endHere(Node& node, const ExchangePtr& exchange, OwnReason reason, Utils::Duration retryAfter)
{
    abandonAttempt(node, *exchange);
    OwnAnswer answer;
    answer.reason = reason;
    answer.mayHaveRun = exchange->mayHaveRun;
    answer.retryAfter = exchange->mayHaveRun ? Utils::Duration::zero() : retryAfter;
    node.counters.ownAnswers.add(reason);
    logOwnAnswer(*exchange, answer, now());
    removeExchange(node, exchange);
    answerCaller(node, exchange->caller, makeOwnAnswer(answer, exchange->terms.id));
}

void tryNext(Node& node, const ExchangePtr& exchange);

void armDeadline(Node& node, const ExchangePtr& exchange)
{
    exchange->deadlineTimer.expires_after(exchange->deadlineAt - now());
    exchange->deadlineTimer.async_wait([&node, exchange](const ErrorCode& error) {
        if (!error && isActive(node, *exchange))
            endHere(node, exchange, OwnReason::TimeUp, {});
    });
}

/// Tries again after \a wait, or earlier if the assignments change.
void park(Node& node, const ExchangePtr& exchange, Utils::Duration wait)
{
    exchange->parked = true;
    exchange->waitTimer.expires_after(wait);
    exchange->waitTimer.async_wait([&node, exchange](const ErrorCode& error) {
        if (error || !isActive(node, *exchange) || !exchange->parked)
            return;
        exchange->parked = false;
        tryNext(node, exchange);
    });
}

void waitForHolder(Node& node, const ExchangePtr& exchange)
{
    const Utils::Instant at = now();
    if (exchange->parkedAt == Utils::Instant {})
        exchange->parkedAt = at;
    const Utils::Duration left = exchange->parkedAt + longestPark - at;
    if (left <= Utils::Duration::zero())
        endHere(node, exchange, OwnReason::KeyWithoutHolder, soon);
    else
        park(node, exchange, left);
}

/// Time that the request is likely to take where nothing waits.
Utils::Duration usualTime(Node& node, const Exchange& exchange)
{
    const Balancing::RouteStats& stats = node.traffic.routes[exchange.route->name];
    return stats.usual.value_or(node.traffic.stats[exchange.service->id].serviceTime);
}

Balancing::PlacementRequest placementFor(Node& node, const Exchange& exchange)
{
    Balancing::PlacementRequest request;
    request.stats = &node.traffic.stats[exchange.service->id];
    request.usual = usualTime(node, exchange);
    request.answerBytes = node.traffic.routes[exchange.route->name].answerBytes;
    request.seed = exchange.id ^ node.incarnation;
    return request;
}

Balancing::AdmissionVerdict admission(
    Node& node, const Exchange& exchange, Utils::Duration expected, Utils::Instant at)
{
    Balancing::AdmissionFacts facts;
    facts.expected = expected;
    facts.unloaded = usualTime(node, exchange);
    facts.toTarget = exchange.targetAt - at;
    facts.timeLeft = exchange.deadlineAt - at;
    facts.cameBack = exchange.cameBack;
    facts.seed = Utils::stableHash(exchange.terms.id.value);
    return Balancing::admit(facts);
}

Utils::Duration attemptTime(
    const Exchange& exchange, std::size_t candidates, Utils::Duration expected, Utils::Duration timeLeft)
{
    const Utils::Duration patience = std::max(expected * attemptTimes, shortestAttempt);
    // A key has one holder: giving it up there and asking again only moves the request to the end of its
    // queue.
    const bool another = Routing::isIdempotent(exchange.route->kind)
        && exchange.sent < exchange.route->maxAttempts && candidates > 1;
    return another && timeLeft - patience >= expected ? patience : timeLeft;
}

void tryNext(Node& node, const ExchangePtr& exchange)
{
    const Utils::Instant at = now();
    const Utils::Duration timeLeft = exchange->deadlineAt - at;
    if (lacksHolder(node, *exchange, at)) {
        waitForHolder(node, exchange);
        return;
    }
    const std::vector<Balancing::Candidate> candidates = candidatesFor(node, *exchange, at);
    const std::optional<Balancing::Placement> placement
        = Balancing::chooseUpstream(candidates, placementFor(node, *exchange), at);
    if (!placement) {
        endHere(node, exchange, OwnReason::NoUpstream, soon);
        return;
    }
    if (exchange->sent == 0) {
        const Balancing::AdmissionVerdict verdict = admission(node, *exchange, placement->expected, at);
        if (!verdict.admitted) {
            endHere(node, exchange, OwnReason::Overload, verdict.retryAfter);
            return;
        }
    }
    const Utils::UpstreamId upstream = candidates[placement->index].id;
    const Routing::DirectoryEntry& entry = node.beliefs.directory.entries.at(upstream);
    ++exchange->sent;
    exchange->tried.insert(upstream);
    exchange->lastUpstream = upstream;
    logSent(node, *exchange, upstream, placement->expected);
    startAttempt(node, exchange, entry.record,
        attemptTime(*exchange, candidates.size(), placement->expected, timeLeft));
}

Balancing::RetryAllowance allowanceOf(const Node& node)
{
    const Routing::Bounds& bounds = node.settings.bounds;
    const std::uint32_t vms = node.relaying.vms > 0 ? node.relaying.vms : untoldVms;
    return { bounds.retryRatio * budgetShare, bounds.retrySlack * budgetShare / vms, bounds.retryWindow };
}

std::uint64_t fingerprintOf(const Platform::HttpRequest& request)
{
    const std::uint64_t body = Utils::stableHash(request.body());
    return Utils::stableHash(std::string_view(request.target().data(), request.target().size()), body);
}

/// How long the caller has been trying, as its shortened deadline shows.
Utils::Duration elapsedBefore(Node& node, const Exchange& exchange)
{
    if (!exchange.terms.deadline)
        return {};
    Utils::Duration& longest = node.traffic.routes[exchange.route->name].longestDeadline;
    longest = std::max(longest, *exchange.terms.deadline);
    return longest - *exchange.terms.deadline;
}

void setTimes(Node& node, Exchange& exchange)
{
    exchange.startedAt = now();
    const Utils::Duration deadline = exchange.terms.deadline.value_or(untoldDeadline);
    exchange.deadlineAt = exchange.startedAt + std::min(deadline, exchange.route->timeout);
    const Utils::Duration before = elapsedBefore(node, exchange);
    exchange.cameBack = before > firstAttemptSlack;
    exchange.targetAt = exchange.startedAt + exchange.route->targetLatency - before;
}

const Routing::Service* serviceOf(const Routing::RouteTable& table, const Utils::ServiceId& id)
{
    const auto found = table.configuration.services.find(id);
    return found == table.configuration.services.end() ? nullptr : &found->second;
}

/// Finds where the request is to go; the reason if it can't go anywhere.
std::optional<OwnReason> findDestination(Node& node, Exchange& exchange)
{
    exchange.table = node.beliefs.table;
    if (!exchange.table)
        return OwnReason::NoConfiguration;
    const boost::string_view host = exchange.request[http::field::host];
    const boost::string_view target = exchange.request.target();
    exchange.route
        = Routing::findRoute(*exchange.table, { host.data(), host.size() }, { target.data(), target.size() });
    if (!exchange.route)
        return OwnReason::NoRoute;
    exchange.service
        = serviceOf(*exchange.table, Routing::choosePart(node.traffic.split, *exchange.route).service);
    if (!exchange.service)
        return OwnReason::NoUpstream;
    if (node.traffic.heldBytes > (std::uint64_t(node.settings.memoryMegabytes) << 20) / heldMemoryPart)
        return OwnReason::MemoryFull;
    return std::nullopt;
}

void countRequest(Node& node, const Exchange& exchange)
{
    Balancing::noteRequest(node.traffic.budgets[exchange.service->id], allowanceOf(node), exchange.startedAt);
    if (!exchange.service->keyed || !exchange.terms.key)
        return;
    Granting::ServiceKeys& counted = node.leader.counted[exchange.service->id];
    counted.service = exchange.service->id;
    ++counted.counts[*exchange.terms.key];
}

void noteAnswerSize(Node& node, const Exchange& exchange, std::size_t bytes)
{
    double& mean = node.traffic.routes[exchange.route->name].answerBytes;
    mean = mean == 0 ? static_cast<double>(bytes) : mean + (static_cast<double>(bytes) - mean) * sizeWeight;
}

void deliver(
    Node& node, const ExchangePtr& exchange, const Utils::UpstreamId& upstream, HttpResponse response)
{
    const Utils::Instant at = now();
    logDelivered(*exchange, upstream, response.result_int(), at);
    node.counters.answerLatency.record(at - exchange->startedAt);
    noteAnswerSize(node, *exchange, response.body().size());
    removeExchange(node, exchange);
    Platform::removeConnectionFields(response);
    response.prepare_payload();
    answerCaller(node, exchange->caller, std::move(response));
}

void notePoison(Node& node, const Exchange& exchange, AttemptEnd end)
{
    if (end == AttemptEnd::Broken)
        Balancing::noteCrash(node.traffic.poison, exchange.fingerprint, now());
    if (end == AttemptEnd::Answered)
        Balancing::noteHarmless(node.traffic.poison, exchange.fingerprint);
}

/// A key's holder is the only place to try again; it may hold the key again by then, or have a successor.
bool hasOther(Node& node, const Exchange& exchange, AttemptEnd end)
{
    if (exchange.service->keyed)
        return end != AttemptEnd::Refused;
    return !candidatesFor(node, exchange, now()).empty();
}

Balancing::AttemptFacts factsOf(Node& node, const Exchange& exchange, AttemptEnd end)
{
    Balancing::AttemptFacts facts;
    facts.end = end;
    facts.idempotent = Routing::isIdempotent(exchange.route->kind);
    facts.mayHaveRun = exchange.mayHaveRun;
    facts.sent = exchange.sent;
    facts.maxAttempts = exchange.route->maxAttempts;
    facts.hasOther = hasOther(node, exchange, end)
        && !Balancing::isHeld(node.traffic.poison, exchange.fingerprint, now());
    facts.timeLeft = exchange.deadlineAt - now();
    facts.expected = usualTime(node, exchange);
    return facts;
}

NextStep chooseStep(Node& node, const Exchange& exchange, AttemptEnd end)
{
    const Balancing::AttemptFacts facts = factsOf(node, exchange, end);
    const NextStep step = Balancing::decideNext(facts);
    // What never reached an upstream is no repeat there.
    if (step != NextStep::TryAgain || end == AttemptEnd::NotConnected)
        return step;
    Balancing::RetryBudget& budget = node.traffic.budgets[exchange.service->id];
    if (!Balancing::spendRepeat(budget, allowanceOf(node), now()))
        return Balancing::giveUp(facts);
    ++node.counters.repeats;
    return step;
}

Utils::Duration comeBackAfter(Node& node, const Exchange& exchange)
{
    return std::max(soon, usualTime(node, exchange));
}

} // namespace Internal

void beginExchange(Node& node, CallerConnection& caller, Platform::HttpRequest request)
{
    const Internal::ExchangePtr exchange = std::make_shared<Exchange>(node.context);
    exchange->id = ++node.traffic.lastId;
    exchange->caller = caller.id;
    exchange->terms = Platform::readCallerTerms(request);
    exchange->request = std::move(request);
    exchange->startedAt = now();
    caller.exchange = exchange->id;
    node.traffic.exchanges.emplace(exchange->id, exchange);
    node.traffic.heldBytes += exchange->request.body().size();
    if (const std::optional<OwnReason> reason = Internal::findDestination(node, *exchange)) {
        Internal::endHere(node, exchange, *reason, Internal::soon);
        return;
    }
    Internal::setTimes(node, *exchange);
    Internal::countRequest(node, *exchange);
    exchange->fingerprint = Internal::fingerprintOf(exchange->request);
    if (Balancing::isHeld(node.traffic.poison, exchange->fingerprint, exchange->startedAt)) {
        Internal::endHere(node, exchange, OwnReason::PoisonHeld, Balancing::suspectMemory);
        return;
    }
    Internal::armDeadline(node, exchange);
    Internal::tryNext(node, exchange);
}

void onAttemptEnd(
    Node& node, std::uint64_t id, Balancing::AttemptEnd end, std::optional<HttpResponse> response)
{
    const auto found = node.traffic.exchanges.find(id);
    if (found == node.traffic.exchanges.end())
        return;
    const Internal::ExchangePtr exchange = found->second;
    exchange->connection = 0;
    exchange->mayHaveRun = exchange->mayHaveRun || !Balancing::isNotRun(end);
    node.counters.attempts.add(end);
    Internal::notePoison(node, *exchange, end);
    const Utils::UpstreamId upstream = exchange->lastUpstream;
    const Balancing::NextStep step = Internal::chooseStep(node, *exchange, end);
    if (end != Balancing::AttemptEnd::Answered)
        logAttemptEnd(*exchange, upstream, end, step);
    switch (step) {
    case Balancing::NextStep::Deliver:
        Internal::deliver(node, exchange, upstream, std::move(*response));
        break;
    case Balancing::NextStep::TryAgain:
        if (end == Balancing::AttemptEnd::Misdirected && exchange->service->keyed)
            Internal::park(node, exchange, Internal::misdirectedWait);
        else
            Internal::tryNext(node, exchange);
        break;
    case Balancing::NextStep::RefuseNotRun:
        Internal::endHere(
            node, exchange, OwnReason::UpstreamsRefused, Internal::comeBackAfter(node, *exchange));
        break;
    case Balancing::NextStep::FailUnknown:
        Internal::endHere(node, exchange, OwnReason::UpstreamFailed, {});
        break;
    }
}

void cancelExchange(Node& node, std::uint64_t id)
{
    const auto found = node.traffic.exchanges.find(id);
    if (found == node.traffic.exchanges.end())
        return;
    const Internal::ExchangePtr exchange = found->second;
    logCallerLeft(*exchange, now());
    abandonAttempt(node, *exchange);
    Internal::removeExchange(node, exchange);
}

void resumeParked(Node& node)
{
    const Utils::Instant at = now();
    std::vector<Internal::ExchangePtr> parked;
    for (auto it = node.traffic.exchanges.begin(); it != node.traffic.exchanges.end(); ++it) {
        if (it->second->parked && !lacksHolder(node, *it->second, at))
            parked.push_back(it->second);
    }
    for (const Internal::ExchangePtr& exchange : parked) {
        exchange->parked = false;
        exchange->waitTimer.cancel();
        Internal::tryNext(node, exchange);
    }
}

} // namespace Edge
