#include <gateway/requesthead.h>

#include <gateway/gatewayconstants.h>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/url/parse.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace Gateway {

namespace Internal {

namespace leaf = boost::leaf;

constexpr std::size_t maxIdLength = 128;
constexpr std::size_t maxKeyLength = 1024;
constexpr unsigned maxAttempt = 1'000'000;

constexpr std::array<std::string_view, 9> hopHeaders { "Connection", "Keep-Alive", "Proxy-Connection",
    "Transfer-Encoding", "TE", "Trailer", "Upgrade", "Content-Length", "Expect" };
constexpr std::array<std::string_view, 7> systemHeaders { "Request-Rank", "Request-Timeout-Ms",
    "Request-Attempt", "Fencing-Token", "Shard", "Request-Id", "Idempotency-Key" };
constexpr std::array<std::string_view, 4> idempotentMethods { "GET", "HEAD", "PUT", "DELETE" };
constexpr std::array<std::string_view, 2> otherMethods { "POST", "PATCH" };

template <std::size_t Size>
bool contains(const std::array<std::string_view, Size>& names, std::string_view name)
{
    const auto matches = [name](std::string_view entry) { return boost::algorithm::iequals(entry, name); };
    return std::any_of(names.begin(), names.end(), matches);
}

leaf::result<std::optional<std::string>> headerValue(const HttpHead& head, std::string_view name)
{
    std::optional<std::string> value;
    for (const Wire::HttpHeader& header : head.headers) {
        if (!boost::algorithm::iequals(header.name, name))
            continue;
        if (value)
            return leaf::new_error(RequestFault { Requests::Reason::BadRequest, std::string(name) });
        value = header.value;
    }
    return value;
}

leaf::result<std::uint64_t> headerNumber(
    const HttpHead& head, std::string_view name, std::uint64_t fallback, std::uint64_t highest)
{
    BOOST_LEAF_AUTO(text, headerValue(head, name));
    if (!text)
        return fallback;
    std::uint64_t number = 0;
    const char* end = text->data() + text->size();
    const std::from_chars_result parsed = std::from_chars(text->data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number == 0 || number > highest)
        return leaf::new_error(RequestFault { Requests::Reason::BadRequest, std::string(name) });
    return number;
}

bool isVisible(const std::string& text)
{
    return std::all_of(
        text.begin(), text.end(), [](char character) { return character > ' ' && character <= '~'; });
}

leaf::result<void> readTarget(const HttpHead& head, CallerRequest& request)
{
    const RequestFault fault { Requests::Reason::BadRequest, "target" };
    const boost::urls::result<boost::urls::url_view> target = boost::urls::parse_origin_form(head.target);
    if (!target || target->segments().size() < 2)
        return leaf::new_error(fault);
    auto segment = target->segments().begin();
    request.service.value = *segment;
    ++segment;
    request.key = *segment;
    if (request.key.empty() || request.key.size() > maxKeyLength)
        return leaf::new_error(fault);
    request.target = head.target;
    return {};
}

leaf::result<void> readMethod(const HttpHead& head, CallerRequest& request)
{
    request.method = head.method;
    request.idempotent = contains(idempotentMethods, head.method);
    if (!request.idempotent && !contains(otherMethods, head.method))
        return leaf::new_error(RequestFault { Requests::Reason::BadRequest, "method" });
    BOOST_LEAF_AUTO(id, headerValue(head, "Idempotency-Key"));
    if (!id && !request.idempotent)
        return leaf::new_error(RequestFault { Requests::Reason::MissingIdempotencyKey, "Idempotency-Key" });
    if (!id)
        return {};
    if (id->empty() || id->size() > maxIdLength || !isVisible(*id))
        return leaf::new_error(RequestFault { Requests::Reason::BadRequest, "Idempotency-Key" });
    request.requestId.value = *id;
    return {};
}

leaf::result<void> readRank(
    const HttpHead& head, const Declarations::Configuration& configuration, CallerRequest& request)
{
    const auto service = configuration.services.find(request.service);
    if (service == configuration.services.end())
        return leaf::new_error(RequestFault { Requests::Reason::UnknownService, "service" });
    BOOST_LEAF_AUTO(name, headerValue(head, "Request-Rank"));
    request.rank = name ? Utils::RankId { *name } : service->second.defaultRank;
    const std::vector<Utils::RankId>& allowed = service->second.ranks;
    if (std::find(allowed.begin(), allowed.end(), request.rank) == allowed.end())
        return leaf::new_error(RequestFault { Requests::Reason::RankNotAllowed, "Request-Rank" });
    const Utils::Duration fallback = configuration.ranks.at(request.rank).defaultTimeout;
    BOOST_LEAF_AUTO(timeout,
        headerNumber(head, "Request-Timeout-Ms", static_cast<std::uint64_t>(Utils::toMilliseconds(fallback)),
            static_cast<std::uint64_t>(Utils::toMilliseconds(maxRequestTimeout))));
    request.timeout = std::chrono::milliseconds(timeout);
    return {};
}

leaf::result<void> readCaller(const HttpHead& head, CallerRequest& request)
{
    BOOST_LEAF_AUTO(attempt, headerNumber(head, "Request-Attempt", 1, maxAttempt));
    request.attempt = static_cast<unsigned>(attempt);
    BOOST_LEAF_AUTO(caller, headerValue(head, "Caller-Id"));
    if (caller && (caller->empty() || caller->size() > maxIdLength || !isVisible(*caller)))
        return leaf::new_error(RequestFault { Requests::Reason::BadRequest, "Caller-Id" });
    request.caller = caller ? *caller : head.peer;
    return {};
}

} // namespace Internal

bool isHopHeader(std::string_view name) { return Internal::contains(Internal::hopHeaders, name); }

bool isSystemHeader(std::string_view name) { return Internal::contains(Internal::systemHeaders, name); }

boost::leaf::result<CallerRequest> readRequestHead(
    const HttpHead& head, const Declarations::Configuration& configuration)
{
    CallerRequest request;
    BOOST_LEAF_CHECK(Internal::readTarget(head, request));
    BOOST_LEAF_CHECK(Internal::readMethod(head, request));
    BOOST_LEAF_CHECK(Internal::readRank(head, configuration, request));
    BOOST_LEAF_CHECK(Internal::readCaller(head, request));
    for (const Wire::HttpHeader& header : head.headers) {
        if (!isHopHeader(header.name) && !isSystemHeader(header.name))
            request.headers.push_back(header);
    }
    return request;
}

} // namespace Gateway
