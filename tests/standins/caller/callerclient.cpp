#include <standins/caller/callerclient.h>

#include <standins/journal/callerrow.h>
#include <standins/journal/endpoint.h>
#include <standins/journal/wallclock.h>

#include <utils/hash.h>

#include <utility>

namespace StandInCaller {

namespace Http = boost::beast::http;

namespace Internal {

/// A request that is sent later than this after it was due counts as late.
constexpr Utils::Duration lateAfter = std::chrono::milliseconds(5);
/// How long beyond its time limit the answer of a request is waited for.
constexpr std::chrono::milliseconds patienceBeyondTimeout { 1'000 };
constexpr unsigned httpVersion = 11;

const PlannedRequest& planned(const CallerClient& client, RequestNumber number)
{
    return client.plan[number.value];
}

std::string requestName(const CallerClient& client, RequestNumber number)
{
    return client.numberPrefix + std::to_string(number.value);
}

std::string idempotencyKeyOf(const CallerClient& client, RequestNumber number)
{
    return isIdempotent(planned(client, number)) ? std::string() : requestName(client, number);
}

/// A body that no other request has.
std::string bodyOf(const CallerClient& client, RequestNumber number)
{
    const PlannedRequest& request = planned(client, number);
    if (request.method == "GET" || request.method == "HEAD" || request.method == "DELETE")
        return {};
    std::string body = requestName(client, number);
    if (body.size() < request.bytes)
        body.resize(request.bytes, '.');
    return body;
}

std::string targetOf(const PlannedRequest& request)
{
    if (!asksForBytes(request))
        return request.target;
    const char separator = request.target.find('?') == std::string::npos ? '?' : '&';
    return request.target + separator + "size=" + std::to_string(request.bytes);
}

CallerHttpRequest httpRequest(const CallerClient& client, RequestNumber number, const ActiveRequest& active)
{
    const PlannedRequest& plan = planned(client, number);
    const unsigned attempt = active.history.attempts + 1;
    CallerHttpRequest request;
    request.method_string(plan.method);
    request.target(targetOf(plan));
    request.version(httpVersion);
    request.set(Http::field::host, client.options.entries[active.entry.value]);
    request.set("Caller-Request", requestName(client, number));
    request.set("Caller-Attempt", std::to_string(attempt));
    // A request that was not run is as good as new.
    request.set("Request-Attempt", std::to_string(active.history.mayHaveRun ? attempt : 1));
    request.set("Request-Timeout-Ms", std::to_string(plan.timeout.count()));
    if (!plan.rank.empty())
        request.set("Request-Rank", plan.rank);
    if (!plan.caller.empty())
        request.set("Caller-Id", plan.caller);
    if (!isIdempotent(plan))
        request.set("Idempotency-Key", idempotencyKeyOf(client, number));
    request.body() = bodyOf(client, number);
    request.prepare_payload();
    return request;
}

Exchange exchangeOf(const CallerClient& client, RequestNumber number, const ActiveRequest& active)
{
    const PlannedRequest& plan = planned(client, number);
    Exchange exchange;
    exchange.number = number;
    exchange.request = httpRequest(client, number, active);
    exchange.check.request = requestName(client, number);
    exchange.check.idempotencyKey = idempotencyKeyOf(client, number);
    exchange.check.bodyDigest = Utils::stableHash(exchange.request.body());
    exchange.check.bytes = asksForBytes(plan) ? plan.bytes : 0;
    exchange.patience = plan.timeout + patienceBeyondTimeout;
    exchange.direct = client.options.direct;
    return exchange;
}

Journal::CallerRow rowOf(const CallerClient& client, RequestNumber number, Journal::CallerEvent event)
{
    const PlannedRequest& plan = planned(client, number);
    const ActiveRequest& active = client.active.at(number);
    Journal::CallerRow row;
    row.at = Journal::wallClockMicroseconds();
    row.event = event;
    row.request = requestName(client, number);
    row.attempt = active.history.attempts;
    row.entry = client.options.entries[active.entry.value];
    row.method = plan.method;
    row.path = targetOf(plan);
    row.rank = plan.rank;
    row.caller = plan.caller;
    row.idempotencyKey = idempotencyKeyOf(client, number);
    const Utils::Instant due = client.startedAt + plan.due;
    row.late = active.firstSent ? (*active.firstSent - due).count() : 0;
    return row;
}

void addResult(Journal::CallerRow& row, const AttemptResult& result, Utils::Duration latency)
{
    row.outcome = result.outcome;
    row.reason = result.reason;
    row.status = result.status;
    row.answer = result.answer;
    row.latency = latency.count();
}

void record(CallerClient& client, const Journal::CallerRow& row)
{
    Journal::append(client.journal, Journal::toJson(row));
}

RankSummary& summaryOf(CallerClient& client, RequestNumber number)
{
    return client.summary.ranks[planned(client, number).rank];
}

void sendOrWait(CallerClient& client, RequestNumber number);

void noteSending(CallerClient& client, RequestNumber number, ActiveRequest& active)
{
    active.sent = Utils::monotonicNow();
    if (active.firstSent) {
        ++summaryOf(client, number).repeats;
        return;
    }
    active.firstSent = active.sent;
    if (active.sent - (client.startedAt + planned(client, number).due) > lateAfter)
        ++summaryOf(client, number).late;
}

void sendWaiting(CallerClient& client, EntryNumber entry)
{
    std::deque<RequestNumber>& waiting = client.pool.entries[entry.value].waiting;
    if (waiting.empty())
        return;
    const RequestNumber number = waiting.front();
    waiting.pop_front();
    sendOrWait(client, number);
}

void endRequest(CallerClient& client, RequestNumber number, const AttemptResult& result)
{
    const Utils::Duration latency = Utils::monotonicNow() - (client.startedAt + planned(client, number).due);
    Journal::CallerRow row = rowOf(client, number, Journal::CallerEvent::Final);
    addResult(row, result, latency);
    record(client, row);
    addFinal(summaryOf(client, number), result, latency);
    client.active.erase(number);
}

void repeatLater(CallerClient& client, RequestNumber number, std::chrono::milliseconds wait)
{
    ActiveRequest& active = client.active.at(number);
    active.entry.value = (active.entry.value + 1) % client.pool.entries.size();
    boost::asio::steady_timer& timer
        = client.repeatTimers.try_emplace(number, client.context, wait).first->second;
    timer.async_wait([&client, number](const boost::system::error_code&) {
        client.repeatTimers.erase(number);
        sendOrWait(client, number);
    });
}

void takeResult(CallerClient& client, RequestNumber number, const AttemptResult& result)
{
    ActiveRequest& active = client.active.at(number);
    const NextStep step = nextStep(active.history, result, client.options.repeats);
    Journal::CallerRow row = rowOf(client, number, Journal::CallerEvent::Attempt);
    addResult(row, result, Utils::monotonicNow() - active.sent);
    record(client, row);
    if (step.repeatAfter)
        repeatLater(client, number, *step.repeatAfter);
    else
        endRequest(client, number, step.result);
}

void sendOrWait(CallerClient& client, RequestNumber number)
{
    ActiveRequest& active = client.active.at(number);
    const EntryNumber entryNumber = active.entry;
    Entry& entry = client.pool.entries[entryNumber.value];
    const std::optional<ConnectionId> id = takeConnection(client.pool, client.context, entryNumber);
    if (!id) {
        entry.waiting.push_back(number);
        return;
    }
    noteSending(client, number, active);
    carry(client.pool.connections.at(*id), entry.endpoint, exchangeOf(client, number, active),
        [&client, number, id, entryNumber](const AttemptResult& result, bool reusable) {
            giveBack(client.pool, *id, reusable);
            takeResult(client, number, result);
            sendWaiting(client, entryNumber);
        });
}

void offer(CallerClient& client, RequestNumber number)
{
    ActiveRequest active;
    active.entry.value = number.value % client.pool.entries.size();
    client.active.emplace(number, active);
    ++summaryOf(client, number).offered;
    record(client, rowOf(client, number, Journal::CallerEvent::Offered));
    sendOrWait(client, number);
}

void offerDue(CallerClient& client)
{
    while (client.nextPlanned < client.plan.size()) {
        const Utils::Instant due = client.startedAt + client.plan[client.nextPlanned].due;
        if (due > Utils::monotonicNow()) {
            client.scheduleTimer.expires_at(due);
            client.scheduleTimer.async_wait(
                [&client](const boost::system::error_code&) { offerDue(client); });
            return;
        }
        offer(client, RequestNumber { client.nextPlanned++ });
    }
}

} // namespace Internal

CallerClient::CallerClient(boost::asio::io_context& ioContext, CallerOptions clientOptions,
    std::vector<PlannedRequest> plannedRequests)
    : context(ioContext)
    , options(std::move(clientOptions))
    , journal(Journal::openJournal(this->options.journal))
    , plan(std::move(plannedRequests))
    , numberPrefix(this->options.name + "-" + std::to_string(Journal::wallClockMicroseconds()) + "-")
    , scheduleTimer(ioContext)
{
    this->pool.limit = this->options.connections;
}

boost::system::error_code addEntries(CallerClient& client)
{
    boost::system::error_code error;
    for (const std::string& text : client.options.entries) {
        Entry entry;
        entry.endpoint = Journal::endpointFrom(text, error);
        if (error)
            return error;
        client.pool.entries.push_back(std::move(entry));
    }
    return error;
}

void startSchedule(CallerClient& client)
{
    client.startedAt = Utils::monotonicNow();
    Internal::offerDue(client);
}

} // namespace StandInCaller
