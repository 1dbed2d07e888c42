#include <platform/headernames.h>
#include <platform/headers.h>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <array>
#include <charconv>
#include <vector>

namespace Platform {

namespace http = boost::beast::http;

namespace Internal {

std::string_view viewOf(const HttpFields& fields, std::string_view name)
{
    const auto found = fields.find(boost::string_view(name.data(), name.size()));
    if (found == fields.end())
        return {};
    return { found->value().data(), found->value().size() };
}

template <typename Number> std::optional<Number> numberOf(std::string_view text)
{
    Number number {};
    const std::from_chars_result end = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || end.ec != std::errc() || end.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::optional<Routing::ReportedLoad> loadOf(std::string_view text)
{
    const std::size_t first = text.find(',');
    const std::size_t second = first == std::string_view::npos ? first : text.find(',', first + 1);
    if (second == std::string_view::npos)
        return std::nullopt;
    const std::optional<unsigned> running = numberOf<unsigned>(text.substr(0, first));
    const std::optional<unsigned> waiting = numberOf<unsigned>(text.substr(first + 1, second - first - 1));
    const std::optional<unsigned> slots = numberOf<unsigned>(text.substr(second + 1));
    if (!running || !waiting || !slots)
        return std::nullopt;
    return Routing::ReportedLoad { *running, *waiting, *slots };
}

std::optional<Utils::Duration> keepAliveOf(std::string_view text)
{
    constexpr std::string_view parameter = "timeout=";
    const std::size_t start = text.find(parameter);
    if (start == std::string_view::npos)
        return std::nullopt;
    std::string_view digits = text.substr(start + parameter.size());
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    const std::optional<unsigned> seconds = numberOf<unsigned>(digits);
    if (!seconds)
        return std::nullopt;
    return std::chrono::seconds(*seconds);
}

void setField(HttpFields& fields, std::string_view name, std::string_view value)
{
    fields.set(boost::string_view(name.data(), name.size()), boost::string_view(value.data(), value.size()));
}

constexpr unsigned statusMisdirected = 421;

} // namespace Internal

CallerHeaders parseCallerHeaders(const HttpFields& fields)
{
    CallerHeaders terms;
    terms.requestId = { std::string(Internal::viewOf(fields, Internal::requestIdHeader)) };
    const std::optional<double> milliseconds
        = Internal::numberOf<double>(Internal::viewOf(fields, Internal::deadlineHeader));
    if (milliseconds && *milliseconds >= 0 && *milliseconds < 1e9)
        terms.timeout = Utils::Duration(static_cast<std::int64_t>(*milliseconds * 1000));
    terms.key = Internal::numberOf<std::uint16_t>(Internal::viewOf(fields, Internal::keyHeader));
    return terms;
}

ServerHeaders parseServerHeaders(unsigned status, const HttpFields& fields)
{
    ServerHeaders told;
    told.requestId = { std::string(Internal::viewOf(fields, Internal::requestIdHeader)) };
    told.server = { std::string(Internal::viewOf(fields, Internal::serverIdHeader)) };
    told.notRun = status == Internal::statusMisdirected
        || fields.find(boost::string_view(Internal::notRunHeader.data(), Internal::notRunHeader.size()))
            != fields.end();
    told.load = Internal::loadOf(Internal::viewOf(fields, Internal::loadHeader));
    told.keepAliveTimeout = Internal::keepAliveOf(Internal::viewOf(fields, Internal::keepAliveHeader));
    told.handover = std::string(Internal::viewOf(fields, Internal::handoverHeader));
    told.stamped = !Internal::viewOf(fields, Internal::stampHeader).empty();
    return told;
}

void setForwardingHeaders(HttpFields& fields, const Utils::UpstreamId& upstream, Utils::Duration left)
{
    Internal::setField(fields, Internal::expectedServerHeader, upstream.value);
    Internal::setField(fields, Internal::deadlineHeader,
        std::to_string(std::max<std::int64_t>(Utils::toMilliseconds(left), 1)));
}

void setRequestId(HttpFields& fields, const Utils::RequestId& id)
{
    if (!id.value.empty())
        Internal::setField(fields, Internal::requestIdHeader, id.value);
}

void removeHopByHopFields(HttpFields& fields)
{
    std::vector<std::string> named;
    for (const boost::string_view token : http::token_list(fields[http::field::connection]))
        named.emplace_back(token);
    for (const std::string& name : named)
        fields.erase(name);
    constexpr std::array<std::string_view, 10> ownFields { "Connection", Internal::keepAliveHeader,
        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding",
        "Upgrade", Internal::expectedServerHeader };
    for (const std::string_view name : ownFields)
        fields.erase(boost::string_view(name.data(), name.size()));
}

} // namespace Platform
