#include <platform/grantcalls.h>
#include <platform/headernames.h>
#include <platform/timetext.h>

#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>

namespace Platform {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace Internal {

constexpr unsigned statusConflict = 409;
constexpr int grantHttpVersion = 11;

HttpRequest makeServerRequest(const Routing::Endpoint& endpoint, const Utils::UpstreamId& server,
    const char* path, const json::object& body)
{
    HttpRequest request(http::verb::post, path, grantHttpVersion);
    request.set(http::field::host, endpoint.address + ":" + std::to_string(endpoint.port));
    request.set(boost::string_view(expectedServerHeader.data(), expectedServerHeader.size()), server.value);
    request.set(http::field::content_type, "application/json");
    request.body() = json::serialize(body);
    request.prepare_payload();
    return request;
}

json::object makeBody(const Routing::KeySpan& span, std::uint64_t token)
{
    return { { "from", span.first }, { "to", span.last }, { "fence", token } };
}

} // namespace Internal

HttpRequest makeGrantRequest(
    const Routing::Endpoint& endpoint, const Utils::UpstreamId& server, const KeyGrant& grant)
{
    json::object body = Internal::makeBody(grant.span, grant.token);
    body["hold_time"] = formatDuration(grant.keyLease);
    if (!grant.handover.empty())
        body["handover"] = grant.handover;
    return Internal::makeServerRequest(endpoint, server, "/grant", body);
}

HttpRequest makeReleaseRequest(const Routing::Endpoint& endpoint, const Utils::UpstreamId& server,
    const Routing::KeySpan& span, std::uint64_t token)
{
    return Internal::makeServerRequest(endpoint, server, "/release", Internal::makeBody(span, token));
}

bool isFencedOff(unsigned status) { return status == Internal::statusConflict; }

} // namespace Platform
