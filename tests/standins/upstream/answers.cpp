#include <standins/upstream/answers.h>

#include <standins/upstream/upstreamserver.h>

#include <standins/journal/answerpattern.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace StandInUpstream {

namespace Http = boost::beast::http;

namespace Internal {

constexpr std::string_view retryAfterMilliseconds = "50";
constexpr std::uint64_t largestUnchunked = 64ULL * 1024ULL;

const HttpRequest& requestOf(const Session& session) { return session.parser->get(); }

bool keepsAlive(const UpstreamServer& server, const Session& session)
{
    return requestOf(session).keep_alive() && !server.stopping;
}

void startAnswer(const UpstreamServer& server, Session& session, Http::status status)
{
    session.answer = Http::response<Http::string_body>(status, requestOf(session).version());
    session.answer.keep_alive(keepsAlive(server, session));
}

std::string echoBody(const UpstreamServer& server, const WorkRequest& work)
{
    boost::json::object echo;
    echo["upstream"] = server.options.name;
    echo["key"] = work.key;
    echo["request"] = work.request;
    echo["idempotency_key"] = work.idempotencyKey;
    echo["body_digest"] = work.bodyDigest;
    return boost::json::serialize(echo);
}

void recordAnswerFault(UpstreamServer& server, const WorkRequest& work, Journal::UpstreamEvent event)
{
    Journal::UpstreamRow row = newRow(server, event);
    row.request = work.request;
    row.attempt = work.attempt;
    row.requestId = work.requestId;
    record(server, row);
}

bool takeCut(UpstreamServer& server, const WorkRequest& work)
{
    if (server.faults.cutAnswers == 0)
        return false;
    --server.faults.cutAnswers;
    recordAnswerFault(server, work, Journal::UpstreamEvent::AnswerCut);
    return true;
}

void startStreamed(UpstreamServer& server, ConnectionId id, const WorkRequest& work, bool cut)
{
    Session& session = server.sessions.at(id);
    StreamedAnswer& streamed = session.streamed.emplace();
    streamed.message.result(Http::status::ok);
    streamed.message.version(requestOf(session).version());
    streamed.message.keep_alive(keepsAlive(server, session));
    streamed.message.set(Http::field::content_type, "application/octet-stream");
    streamed.size = *work.answerBytes;
    streamed.end = cut ? streamed.size / 2 : streamed.size;
    streamed.seed = Journal::patternSeed(work.request.empty() ? work.requestId : work.request);
    if (streamed.size > largestUnchunked)
        streamed.message.chunked(true);
    else
        streamed.message.content_length(streamed.size);
    sendStreamed(server, id);
}

void sendEcho(UpstreamServer& server, ConnectionId id, const WorkRequest& work, bool cut)
{
    Session& session = server.sessions.at(id);
    startAnswer(server, session, Http::status::ok);
    session.answer.set(Http::field::content_type, "application/json");
    session.answer.body() = echoBody(server, work);
    session.answer.prepare_payload();
    if (cut)
        session.cutAfter = session.answer.body().size() / 2;
    if (work.method == "HEAD")
        session.answer.body().clear();
    sendAnswer(server, id);
}

} // namespace Internal

void answerJson(UpstreamServer& server, ConnectionId id, Http::status status, std::string body)
{
    Session& session = server.sessions.at(id);
    Internal::startAnswer(server, session, status);
    session.answer.set(Http::field::content_type, "application/json");
    session.answer.body() = std::move(body);
    session.answer.prepare_payload();
    sendAnswer(server, id);
}

void refuseWork(UpstreamServer& server, ConnectionId id, Http::status status, std::string_view reason)
{
    Session& session = server.sessions.at(id);
    const WorkRequest work = workRequestFrom(Internal::requestOf(session));
    Journal::UpstreamRow row = newRow(server, Journal::UpstreamEvent::Refused);
    row.request = work.request;
    row.attempt = work.attempt;
    row.requestId = work.requestId;
    row.shard = work.shard;
    row.level = work.level.value_or(Ownership::GrantLevel());
    row.reason = std::string(reason);
    record(server, row);

    Internal::startAnswer(server, session, status);
    session.answer.set("Not-Run", reason);
    if (status == Http::status::service_unavailable)
        session.answer.set("Retry-After-Ms", Internal::retryAfterMilliseconds);
    session.answer.prepare_payload();
    sendAnswer(server, id);
}

void answerWork(UpstreamServer& server, ConnectionId id)
{
    Session& session = server.sessions.at(id);
    const WorkRequest work = *session.work;
    session.work.reset();
    if (server.faults.loseAnswers > 0) {
        --server.faults.loseAnswers;
        Internal::recordAnswerFault(server, work, Journal::UpstreamEvent::AnswerLost);
        endSession(server, id);
        return;
    }
    const bool cut = Internal::takeCut(server, work);
    if (work.answerBytes && work.method != "HEAD")
        Internal::startStreamed(server, id, work, cut);
    else
        Internal::sendEcho(server, id, work, cut);
}

} // namespace StandInUpstream
