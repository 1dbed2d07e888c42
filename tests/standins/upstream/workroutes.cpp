#include <standins/upstream/workroutes.h>

#include <standins/upstream/answers.h>
#include <standins/upstream/upstreamserver.h>

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace StandInUpstream {

namespace Http = boost::beast::http;

namespace Internal {

constexpr int crashStatus = 70;
/// How much longer work takes during a cold start.
constexpr int coldStartFactor = 4;
/// The longest service time, as a multiple of the mean.
constexpr double longestService = 5.0;

/// Why work is refused, and the status that says so.
struct Refusal {
    Http::status status;
    std::string_view reason;
};

std::optional<Refusal> judgeLevel(const UpstreamServer& server, const WorkRequest& work)
{
    if (!server.options.checksGrants)
        return std::nullopt;
    const Ownership::GrantLevel level = work.level.value_or(Ownership::GrantLevel());
    const Ownership::HolderVerdict verdict
        = Ownership::checkRequest(server.holder, work.shard, level, holderClock(server));
    if (verdict == Ownership::HolderVerdict::Accepted)
        return std::nullopt;
    return Refusal { Http::status::conflict, Utils::enumName(Ownership::holderVerdictNames, verdict) };
}

std::optional<Refusal> judgeWork(const UpstreamServer& server, const WorkRequest& work)
{
    const std::optional<Refusal> levelRefusal = judgeLevel(server, work);
    if (levelRefusal)
        return levelRefusal;
    if (server.faults.drain || server.stopping)
        return Refusal { Http::status::service_unavailable, "draining" };
    if (work.timeLeft && work.timeLeft->count() <= 0)
        return Refusal { Http::status::gateway_timeout, "deadline" };
    if (server.faults.shed || server.running.size() >= server.options.slots)
        return Refusal { Http::status::service_unavailable, "shedding" };
    return std::nullopt;
}

Journal::UpstreamRow workRow(
    const UpstreamServer& server, const WorkRequest& work, Journal::UpstreamEvent event)
{
    Journal::UpstreamRow row = newRow(server, event);
    row.level = work.level.value_or(Ownership::GrantLevel());
    row.request = work.request;
    row.attempt = work.attempt;
    row.requestId = work.requestId;
    row.idempotencyKey = work.idempotencyKey;
    row.method = work.method;
    row.rank = work.rank;
    row.shard = work.shard;
    row.key = work.key;
    return row;
}

std::chrono::microseconds serviceTime(UpstreamServer& server)
{
    std::exponential_distribution<double> distribution(1.0);
    const double share = std::min(distribution(server.random), longestService);
    const std::chrono::microseconds mean = server.options.service;
    std::chrono::microseconds time(static_cast<std::int64_t>(share * static_cast<double>(mean.count())));
    if (std::chrono::steady_clock::now() < server.startedAt + server.options.coldStart)
        time *= coldStartFactor;
    return time + server.faults.slow;
}

void finishWork(UpstreamServer& server, ConnectionId id)
{
    Session& session = server.sessions.at(id);
    server.running.erase(session.work->requestId);
    noteHealth(server);
    if (!session.cancelled) {
        record(server, workRow(server, *session.work, Journal::UpstreamEvent::RequestEnded));
        answerWork(server, id);
        return;
    }
    record(server, workRow(server, *session.work, Journal::UpstreamEvent::RequestCancelled));
    session.work.reset();
    session.cancelled = false;
    refuseWork(server, id, Http::status::service_unavailable, "cancelled");
}

void startWork(UpstreamServer& server, ConnectionId id, WorkRequest work)
{
    if (work.requestId.empty() || server.running.contains(work.requestId))
        work.requestId += "#" + std::to_string(id.value);
    record(server, workRow(server, work, Journal::UpstreamEvent::RequestStarted));
    if (work.crashes && server.faults.crashOnMarker)
        _exit(crashStatus);
    Session& session = server.sessions.at(id);
    server.running.emplace(work.requestId, id);
    session.work = std::move(work);
    noteHealth(server);
    session.timer.expires_after(serviceTime(server));
    session.timer.async_wait([&server, id](const boost::system::error_code&) { finishWork(server, id); });
}

} // namespace Internal

void routeWork(UpstreamServer& server, ConnectionId id)
{
    WorkRequest work = workRequestFrom(server.sessions.at(id).parser->get());
    const std::optional<Internal::Refusal> refusal = Internal::judgeWork(server, work);
    if (!refusal) {
        Internal::startWork(server, id, std::move(work));
        return;
    }
    if (server.running.size() >= server.options.slots && refusal->reason == "shedding")
        record(server, Internal::workRow(server, work, Journal::UpstreamEvent::Overcommitted));
    refuseWork(server, id, refusal->status, refusal->reason);
}

} // namespace StandInUpstream
