#include <platform/grantcalls.h>
#include <platform/timetext.h>

#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>

namespace Platform {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace Internal {

constexpr unsigned statusConflict = 409;
constexpr int grantHttpVersion = 11;

HttpRequest serverCall(const Routing::Endpoint& server, const char* path, const json::object& body)
{
    HttpRequest request(http::verb::post, path, grantHttpVersion);
    request.set(http::field::host, server.address + ":" + std::to_string(server.port));
    request.set(http::field::content_type, "application/json");
    request.body() = json::serialize(body);
    request.prepare_payload();
    return request;
}

json::object bodyFor(const Routing::KeySpan& span, std::uint64_t token)
{
    return { { "from", span.first }, { "to", span.last }, { "fence", token } };
}

} // namespace Internal

HttpRequest grantCall(const Routing::Endpoint& server, const KeyGrant& grant)
{
    json::object body = Internal::bodyFor(grant.span, grant.token);
    body["hold_time"] = formatTime(grant.hold);
    if (!grant.handover.empty())
        body["handover"] = grant.handover;
    return Internal::serverCall(server, "/grant", body);
}

HttpRequest releaseCall(const Routing::Endpoint& server, const Routing::KeySpan& span, std::uint64_t token)
{
    return Internal::serverCall(server, "/release", Internal::bodyFor(span, token));
}

bool isFencedOff(unsigned status) { return status == Internal::statusConflict; }

} // namespace Platform
