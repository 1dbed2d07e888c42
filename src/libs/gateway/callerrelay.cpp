#include <gateway/callerrelay.h>

#include <gateway/attemptresult.h>
#include <gateway/callerwriter.h>
#include <gateway/gatewayconstants.h>
#include <gateway/heldworks.h>
#include <gateway/linkmeter.h>
#include <gateway/links.h>
#include <gateway/poolpolicy.h>
#include <gateway/requestfault.h>
#include <gateway/routing.h>
#include <requests/outcomeatentry.h>
#include <requests/retry.h>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>

namespace Gateway {

namespace Internal {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

/// One caller's request under way.
struct Relay {
    NetworkState& state;
    CallerConnection& caller;
    const CallerRequest& request;
    Utils::Instant arrived {};
    Utils::Instant deadline {};
    /// The attempt that waits now; 0 for none.
    std::uint64_t number = 0;
    unsigned attempts = 0;
    /// Attempts that found no dispatcher, in a row.
    unsigned searches = 0;
    /// The first reason that leaves it open whether the request ran.
    Requests::Reason mayHaveRun = Requests::Reason::None;
};

Wire::WorkRequest messageFor(const Relay& relay, const Route& route)
{
    Wire::WorkRequest message;
    message.request = relay.number;
    message.pool = route.pool;
    message.token = route.dispatchers.token;
    message.service = relay.request.service;
    message.shard = route.shard;
    message.rank = relay.request.rank;
    message.caller = relay.request.caller;
    message.timeout = relay.deadline - Utils::monotonicNow();
    message.idempotent = relay.request.idempotent;
    message.requestId = relay.request.requestId;
    message.attempt = relay.request.attempt;
    message.method = relay.request.method;
    message.target = relay.request.target;
    message.headers = relay.request.headers;
    message.body = relay.request.body;
    return message;
}

AttemptResult lost(Requests::Reason reason) { return { reason, defaultRetryAfter, true }; }

/// Sends the request to the dispatcher of this turn; gives the result when it can't be sent.
std::optional<AttemptResult> sendAttempt(Relay& relay, const Route& route)
{
    NetworkState& state = relay.state;
    relay.number = ++state.lastAttempt;
    PendingAttempt& pending = state.pending[relay.number];
    pending.pipe = std::make_shared<AnswerPipe>(state.context.get_executor());
    const Utils::VmId& vm = dispatcherFor(route.dispatchers, relay.searches);
    if (vm == state.settings.name) {
        pending.localWork = holdWork(state, { std::nullopt, relay.number }, messageFor(relay, route));
        return std::nullopt;
    }
    const Requests::LinkDecision crossing
        = takeLinkTo(state, vm, relay.request.rank, relay.request.body.size());
    if (!crossing.allowed)
        return AttemptResult { Requests::Reason::LinkBudget, crossing.retryAfter, true };
    const std::shared_ptr<PeerLink> link = linkTo(state, vm);
    if (link == nullptr)
        return lost(Requests::Reason::DispatcherUnreachable);
    pending.link = link->id;
    sendOnLink(state, *link, messageFor(relay, route));
    return std::nullopt;
}

void cancelAttempt(Relay& relay)
{
    const auto found = relay.state.pending.find(relay.number);
    if (found == relay.state.pending.end())
        return;
    if (!found->second.link) {
        cancelWork(relay.state, { std::nullopt, relay.number });
        return;
    }
    const auto link = relay.state.links.find(*found->second.link);
    if (link != relay.state.links.end())
        sendOnLink(relay.state, *link->second, Wire::WorkCancel { relay.number });
}

void creditAttempt(Relay& relay, std::uint64_t bytes)
{
    const auto found = relay.state.pending.find(relay.number);
    if (found == relay.state.pending.end())
        return;
    if (!found->second.link) {
        creditWork(relay.state, { std::nullopt, relay.number }, bytes);
        return;
    }
    const auto link = relay.state.links.find(*found->second.link);
    if (link != relay.state.links.end())
        sendOnLink(relay.state, *link->second, Wire::AnswerCredit { relay.number, bytes });
}

/// Passes on the rest of an answer that is too large to hold.
asio::awaitable<AttemptResult> streamAnswer(
    Relay& relay, const std::shared_ptr<AnswerPipe>& pipe, const Wire::AnswerHead& head, std::string held)
{
    bool usable = co_await writeHead(relay.caller, head);
    usable = usable && co_await writePart(relay.caller, head, held);
    creditAttempt(relay, held.size());
    while (usable) {
        std::optional<AnswerPart> part = co_await pipe->pop(Utils::monotonicNow() + callerTransferTimeout);
        const Wire::AnswerChunk* chunk = part ? std::get_if<Wire::AnswerChunk>(&*part) : nullptr;
        if (chunk != nullptr) {
            usable = co_await writePart(relay.caller, head, chunk->bytes);
            creditAttempt(relay, chunk->bytes.size());
            continue;
        }
        const Wire::AnswerEnd* end = part ? std::get_if<Wire::AnswerEnd>(&*part) : nullptr;
        if (end != nullptr && end->whole)
            co_return AttemptResult { Requests::Reason::None, {}, co_await writeEnd(relay.caller, head) };
        break;
    }
    // The connection is closed without the answer's end, so that the caller sees that it is not whole.
    relay.state.metrics.counters.add(Counter::AnswersCut);
    cancelAttempt(relay);
    co_return AttemptResult { Requests::Reason::UpstreamLost, {}, false };
}

/// Waits for the answer of the current attempt and writes it when it is done.
asio::awaitable<AttemptResult> awaitAnswer(Relay& relay, std::shared_ptr<AnswerPipe> pipe)
{
    const Utils::Instant limit = relay.deadline + answerGrace;
    Wire::AnswerHead head;
    std::string held;
    while (true) {
        std::optional<AnswerPart> part = co_await pipe->pop(limit);
        if (!part) {
            cancelAttempt(relay);
            co_return lost(Requests::Reason::DispatcherLost);
        }
        if (const Wire::WorkRefused* refused = std::get_if<Wire::WorkRefused>(&*part))
            co_return AttemptResult { refused->reason, refused->retryAfter, true };
        if (Wire::AnswerHead* begun = std::get_if<Wire::AnswerHead>(&*part))
            head = std::move(*begun);
        if (const Wire::AnswerChunk* chunk = std::get_if<Wire::AnswerChunk>(&*part))
            held += chunk->bytes;
        if (const Wire::AnswerEnd* end = std::get_if<Wire::AnswerEnd>(&*part)) {
            if (!end->whole)
                co_return lost(Requests::Reason::UpstreamLost);
            co_return AttemptResult { Requests::Reason::None, {},
                co_await writeWhole(relay.caller, head, std::move(held)) };
        }
        if (held.size() > answerHoldBytes)
            co_return co_await streamAnswer(relay, pipe, head, std::move(held));
    }
}

/// Ends when the caller closes its connection; never ends once it sends more, which is its next request.
asio::awaitable<void> callerLeaves(CallerConnection& caller)
{
    boost::system::error_code error;
    asio::ip::tcp::socket& socket = caller.stream.socket();
    co_await socket.async_wait(
        asio::ip::tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    char byte = 0;
    socket.non_blocking(true, error);
    const std::size_t waiting
        = socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
    if (waiting == 0 && error != asio::error::would_block)
        co_return;
    asio::steady_timer never(socket.get_executor(), asio::steady_timer::time_point::max());
    co_await never.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

asio::awaitable<AttemptResult> runAttempt(Relay& relay, const Route& route)
{
    using namespace asio::experimental::awaitable_operators;
    const std::optional<AttemptResult> notSent = sendAttempt(relay, route);
    if (notSent) {
        relay.state.pending.erase(relay.number);
        co_return *notSent;
    }
    const std::shared_ptr<AnswerPipe> pipe = relay.state.pending.at(relay.number).pipe;
    std::variant<AttemptResult, std::monostate> first
        = co_await (awaitAnswer(relay, pipe) || callerLeaves(relay.caller));
    AttemptResult result { Requests::Reason::Cancelled, {}, false };
    if (first.index() == 0) {
        result = std::get<0>(first);
    } else {
        relay.state.metrics.counters.add(Counter::CallersLeft);
        cancelAttempt(relay);
    }
    relay.state.pending.erase(relay.number);
    co_return result;
}

bool isSearch(Requests::Reason reason)
{
    return reason == Requests::Reason::NotDispatcher || reason == Requests::Reason::DispatcherUnreachable
        || reason == Requests::Reason::NoOwner || reason == Requests::Reason::ShuttingDown;
}

/// When to try again; nothing to give up.
std::optional<Utils::Instant> nextAttempt(Relay& relay, const Route& route, const AttemptResult& result)
{
    const Utils::Instant now = Utils::monotonicNow();
    if (!result.callerUsable || relay.caller.answerBegun)
        return std::nullopt;
    if (isSearch(result.reason)) {
        ++relay.searches;
        const bool inTime
            = now + dispatcherRetryEvery < relay.deadline && now - relay.arrived < dispatcherSearch;
        return inTime ? std::optional<Utils::Instant>(now + dispatcherRetryEvery) : std::nullopt;
    }
    const Declarations::Configuration& configuration = *relay.state.routing->configuration;
    const auto rank = configuration.ranks.find(relay.request.rank);
    if (rank == configuration.ranks.end())
        return std::nullopt;
    Requests::FailedAttempt failed;
    failed.reason = result.reason;
    failed.retryAfter = result.retryAfter;
    failed.attempts = relay.attempts;
    failed.idempotent = relay.request.idempotent;
    failed.deadline = relay.deadline;
    failed.seed = relay.number ^ relay.state.incarnation;
    const Requests::RetryDecision decision = Requests::decideRetry(
        relay.state.retries, failed, policyOf(configuration, route.pool).retry, rank->second, now);
    return decision.retry ? std::optional<Utils::Instant>(decision.at) : std::nullopt;
}

FinalAnswer finalAnswerOf(const Relay& relay, const AttemptResult& result)
{
    FinalAnswer answer;
    answer.reason = result.reason;
    answer.retryAfter = std::max(result.retryAfter, Utils::Duration(std::chrono::milliseconds(1)));
    answer.outcome = Requests::outcomeOf(result.reason);
    if (relay.mayHaveRun != Requests::Reason::None && answer.outcome == Requests::Outcome::NotRun) {
        answer.outcome = Requests::Outcome::Unknown;
        answer.reason = relay.mayHaveRun;
    }
    return answer;
}

asio::awaitable<bool> answerFinally(Relay& relay, const AttemptResult& result)
{
    FinalAnswer answer = finalAnswerOf(relay, result);
    // A dispatcher that knows the request's id has said what is true of it; no other refusal can.
    const bool fromMemory = !isSearch(result.reason) && result.reason != Requests::Reason::EntryOverloaded;
    if (!fromMemory && answer.outcome == Requests::Outcome::NotRun)
        answer.outcome
            = Requests::outcomeAtEntry(result.reason, relay.request.idempotent, relay.request.attempt);
    relay.state.metrics.outcomes.add(answer.outcome);
    relay.state.metrics.refusals.add(answer.reason);
    if (!result.callerUsable || relay.caller.answerBegun)
        co_return false;
    co_return co_await writeFinal(relay.caller, answer);
}

asio::awaitable<void> pauseUntil(NetworkState& state, Utils::Instant when)
{
    boost::system::error_code error;
    asio::steady_timer timer(state.context);
    timer.expires_at(when);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

asio::awaitable<AttemptResult> attemptOnce(Relay& relay, Route& route)
{
    const std::optional<RequestFault> fault = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<RequestFault>> {
            BOOST_LEAF_ASSIGN(
                route, findRoute(*relay.state.routing, relay.request.service, relay.request.key));
            return std::optional<RequestFault>();
        },
        [](const RequestFault& found) { return std::optional<RequestFault>(found); },
        []() { return std::optional<RequestFault>(RequestFault {}); });
    if (fault)
        co_return lost(fault->reason);
    co_return co_await runAttempt(relay, route);
}

} // namespace Internal

boost::asio::awaitable<bool> relayRequest(
    NetworkState& state, CallerConnection& caller, const CallerRequest& request)
{
    const Utils::Instant arrived = Utils::monotonicNow();
    Internal::Relay relay { state, caller, request, arrived, arrived + request.timeout, 0, 0, 0,
        Requests::Reason::None };
    Requests::noteFirstAttempt(state.retries, request.rank, arrived);
    Route route;
    while (true) {
        ++relay.attempts;
        const AttemptResult result = co_await Internal::attemptOnce(relay, route);
        if (result.reason == Requests::Reason::None) {
            state.metrics.outcomes.add(Requests::Outcome::Done);
            state.metrics.latencies.record(request.rank, Utils::monotonicNow() - arrived);
            co_return result.callerUsable;
        }
        const bool unknown = Requests::outcomeOf(result.reason) == Requests::Outcome::Unknown;
        if (unknown && relay.mayHaveRun == Requests::Reason::None)
            relay.mayHaveRun = result.reason;
        const std::optional<Utils::Instant> again = Internal::nextAttempt(relay, route, result);
        if (!again)
            co_return co_await Internal::answerFinally(relay, result);
        state.metrics.retries.add(result.reason);
        co_await Internal::pauseUntil(state, *again);
    }
}

} // namespace Gateway
