#include <platform/healthcalls.h>

#include <boost/beast/http/verb.hpp>

namespace Platform {

HttpRequest makeHealthRequest(const Routing::Endpoint& endpoint, const std::string& path)
{
    constexpr int httpVersion = 11;
    HttpRequest request(boost::beast::http::verb::get, path, httpVersion);
    request.set(boost::beast::http::field::host, endpoint.address + ":" + std::to_string(endpoint.port));
    return request;
}

} // namespace Platform
