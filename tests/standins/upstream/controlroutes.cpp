#include <standins/upstream/controlroutes.h>

#include <standins/upstream/answers.h>
#include <standins/upstream/controlcodec.h>
#include <standins/upstream/lease.h>
#include <standins/upstream/upstreamserver.h>

#include <boost/json/serialize.hpp>

#include <array>
#include <optional>
#include <string_view>
#include <thread>

namespace StandInUpstream {

namespace Http = boost::beast::http;

namespace Internal {

using AnswerControl = void (*)(UpstreamServer& server, ConnectionId id, const HttpRequest& request);

/// One row of the table of control requests.
struct ControlRoute {
    Http::verb method;
    std::string_view target;
    /// Answers 404 when the upstream doesn't check grants.
    bool onlyWhenChecking;
    AnswerControl answer;
};

void answerBadRequest(UpstreamServer& server, ConnectionId id)
{
    answerJson(server, id, Http::status::bad_request, R"({"error":"bad_request"})");
}

void answerHolder(UpstreamServer& server, ConnectionId id, const Ownership::HolderResponse& answer)
{
    const bool accepted = answer.verdict == Ownership::HolderVerdict::Accepted;
    answerJson(server, id, accepted ? Http::status::ok : Http::status::conflict, toJson(answer));
}

void answerState(UpstreamServer& server, ConnectionId id, const HttpRequest&)
{
    answerHolder(server, id, currentState(server));
}

void answerFence(UpstreamServer& server, ConnectionId id, const HttpRequest& request)
{
    const std::optional<Ownership::FenceRequest> fence = fenceFrom(request.body());
    if (!fence) {
        answerBadRequest(server, id);
        return;
    }
    answerHolder(server, id, takeFence(server, *fence));
}

void answerGrant(UpstreamServer& server, ConnectionId id, const HttpRequest& request)
{
    const std::optional<Ownership::GrantRequest> grant = grantFrom(request.body());
    if (!grant) {
        answerBadRequest(server, id);
        return;
    }
    answerHolder(server, id, takeGrant(server, *grant));
}

void answerCancel(UpstreamServer& server, ConnectionId id, const HttpRequest& request)
{
    const std::optional<std::string> requestId = cancelFrom(request.body());
    if (!requestId) {
        answerBadRequest(server, id);
        return;
    }
    const std::map<std::string, ConnectionId>::iterator found = server.running.find(*requestId);
    if (found == server.running.end()) {
        answerJson(server, id, Http::status::ok, R"({"state":"unknown"})");
        return;
    }
    Session& session = server.sessions.at(found->second);
    if (session.timer.cancel() == 0) {
        answerJson(server, id, Http::status::ok, R"({"state":"running"})");
        return;
    }
    session.cancelled = true;
    answerJson(server, id, Http::status::ok, R"({"state":"cancelled"})");
}

void answerHealth(UpstreamServer& server, ConnectionId id, const HttpRequest&)
{
    answerJson(server, id, Http::status::ok, healthAnswer(server));
}

void silenceOthers(UpstreamServer& server, ConnectionId except)
{
    for (std::pair<const ConnectionId, Session>& entry : server.sessions)
        entry.second.silent = entry.second.silent || entry.first != except;
}

void freeze(UpstreamServer& server, std::chrono::milliseconds length)
{
    boost::asio::post(server.context, [length] { std::this_thread::sleep_for(length); });
}

void answerFaults(UpstreamServer& server, ConnectionId id, const HttpRequest& request)
{
    const std::optional<FaultCommand> command = faultCommandFrom(server.faults, request.body());
    if (!command) {
        answerBadRequest(server, id);
        return;
    }
    server.faults = command->settings;
    noteHealth(server);
    if (command->silenceOpenConnections)
        silenceOthers(server, id);
    answerJson(server, id, Http::status::ok, boost::json::serialize(toJson(server.faults)));
    if (command->freeze.count() > 0)
        freeze(server, command->freeze);
}

constexpr std::string_view faultsTarget = "/faults";

const std::array<ControlRoute, 6> controlRoutes { {
    { Http::verb::get, "/control/state", false, answerState },
    { Http::verb::post, "/control/fence", true, answerFence },
    { Http::verb::post, "/control/grant", true, answerGrant },
    { Http::verb::post, "/control/cancel", false, answerCancel },
    { Http::verb::get, "/health", false, answerHealth },
    { Http::verb::post, faultsTarget, false, answerFaults },
} };

const ControlRoute* routeOf(const HttpRequest& request)
{
    for (const ControlRoute& route : controlRoutes) {
        if (route.method == request.method() && route.target == request.target())
            return &route;
    }
    return nullptr;
}

} // namespace Internal

bool routeControl(UpstreamServer& server, ConnectionId id)
{
    const HttpRequest& request = server.sessions.at(id).parser->get();
    const Internal::ControlRoute* route = Internal::routeOf(request);
    if (route == nullptr)
        return false;
    if (route->onlyWhenChecking && !server.options.checksGrants)
        answerJson(server, id, Http::status::not_found, R"({"error":"not_found"})");
    else
        route->answer(server, id, request);
    return true;
}

bool isFaultRequest(const UpstreamServer& server, ConnectionId id)
{
    const HttpRequest& request = server.sessions.at(id).parser->get();
    return request.method() == Http::verb::post && request.target() == Internal::faultsTarget;
}

} // namespace StandInUpstream
