#include <platform/headernames.h>
#include <platform/headers.h>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <vector>

namespace Platform {

namespace http = boost::beast::http;

namespace Internal {

std::string_view fieldValue(const HttpFields& fields, std::string_view name)
{
    const auto field = fields.find(boost::string_view(name.data(), name.size()));
    if (field == fields.end())
        return {};
    return { field->value().data(), field->value().size() };
}

template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number number {};
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// The load of an upstream whose work takes as long as usual.
constexpr double percentOfUsual = 100;

bool hasField(const HttpFields& fields, std::string_view name)
{
    return fields.find(boost::string_view(name.data(), name.size())) != fields.end();
}

std::vector<std::string_view> splitByComma(std::string_view text)
{
    std::vector<std::string_view> parts;
    for (std::size_t comma = text.find(','); comma != std::string_view::npos; comma = text.find(',')) {
        parts.push_back(text.substr(0, comma));
        text.remove_prefix(comma + 1);
    }
    parts.push_back(text);
    return parts;
}

/// Parses "running,waiting,slots", to which upstreams that share their machines add how long work takes.
void parseLoad(const HttpFields& fields, ServerHeaders& serverHeaders)
{
    constexpr std::size_t countFigures = 3;
    if (!hasField(fields, loadHeader))
        return;
    const std::vector<std::string_view> figures = splitByComma(fieldValue(fields, loadHeader));
    if (figures.size() < countFigures || figures.size() > countFigures + 1) {
        serverHeaders.loadError = DecodeError::Unreadable;
        return;
    }
    const std::optional<unsigned> running = parseNumber<unsigned>(figures[0]);
    const std::optional<unsigned> waiting = parseNumber<unsigned>(figures[1]);
    const std::optional<unsigned> slots = parseNumber<unsigned>(figures[2]);
    const bool hasPercent = figures.size() > countFigures;
    const std::optional<double> percent
        = hasPercent ? parseNumber<double>(figures[countFigures]) : percentOfUsual;
    if (!running || !waiting || !slots || !percent) {
        serverHeaders.loadError = DecodeError::Unreadable;
        return;
    }
    if (!std::isfinite(*percent) || *percent <= 0) {
        serverHeaders.loadError = DecodeError::OutOfRange;
        return;
    }
    serverHeaders.load = Routing::ReportedLoad { *running, *waiting, *slots };
    if (hasPercent)
        serverHeaders.load->workFactor = *percent / percentOfUsual;
}

void parseColdTime(const HttpFields& fields, ServerHeaders& serverHeaders)
{
    constexpr double maxMilliseconds = 3.6e6;
    if (!hasField(fields, coldTimeHeader))
        return;
    const std::optional<double> milliseconds = parseNumber<double>(fieldValue(fields, coldTimeHeader));
    if (!milliseconds)
        serverHeaders.coldTimeError = DecodeError::Unreadable;
    else if (!std::isfinite(*milliseconds) || *milliseconds < 0 || *milliseconds > maxMilliseconds)
        serverHeaders.coldTimeError = DecodeError::OutOfRange;
    else
        serverHeaders.remainingColdTime = Utils::Duration(static_cast<std::int64_t>(*milliseconds * 1000));
}

void parseRequestLimit(const HttpFields& fields, ServerHeaders& serverHeaders)
{
    if (!hasField(fields, requestLimitHeader))
        return;
    const std::string_view text = fieldValue(fields, requestLimitHeader);
    const std::optional<double> limit = parseNumber<double>(text);
    if (!limit)
        serverHeaders.requestLimitError = DecodeError::Unreadable;
    else if (!std::isfinite(*limit) || *limit < 0)
        serverHeaders.requestLimitError = DecodeError::OutOfRange;
    else
        serverHeaders.requestLimit = limit;
}

void parsePause(const HttpFields& fields, ServerHeaders& serverHeaders)
{
    constexpr double maxSeconds = 1e9;
    const std::string_view text = fieldValue(fields, retryAfterHeader);
    if (text.empty())
        return;
    const std::optional<double> seconds = parseNumber<double>(text);
    if (!seconds)
        serverHeaders.pauseError = DecodeError::Unreadable;
    else if (!std::isfinite(*seconds) || *seconds < 0)
        serverHeaders.pauseError = DecodeError::OutOfRange;
    else
        serverHeaders.pause
            = Utils::Duration(static_cast<std::int64_t>(std::min(*seconds, maxSeconds) * 1e6));
}

std::optional<Utils::Duration> parseKeepAliveTimeout(std::string_view text)
{
    constexpr std::string_view parameter = "timeout=";
    const std::size_t start = text.find(parameter);
    if (start == std::string_view::npos)
        return std::nullopt;
    std::string_view digits = text.substr(start + parameter.size());
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    const std::optional<unsigned> seconds = parseNumber<unsigned>(digits);
    if (!seconds)
        return std::nullopt;
    return std::chrono::seconds(*seconds);
}

void setField(HttpFields& fields, std::string_view name, std::string_view value)
{
    fields.set(boost::string_view(name.data(), name.size()), boost::string_view(value.data(), value.size()));
}

constexpr unsigned statusMisdirected = 421;
constexpr unsigned statusUnavailable = 503;

} // namespace Internal

CallerHeaders parseCallerHeaders(const HttpFields& fields)
{
    CallerHeaders callerHeaders;
    callerHeaders.requestId = { std::string(Internal::fieldValue(fields, Internal::requestIdHeader)) };
    const std::optional<double> milliseconds
        = Internal::parseNumber<double>(Internal::fieldValue(fields, Internal::deadlineHeader));
    if (milliseconds && *milliseconds >= 0 && *milliseconds < 1e9)
        callerHeaders.timeout = Utils::Duration(static_cast<std::int64_t>(*milliseconds * 1000));
    callerHeaders.key
        = Internal::parseNumber<std::uint16_t>(Internal::fieldValue(fields, Internal::keyHeader));
    return callerHeaders;
}

ServerHeaders parseServerHeaders(unsigned status, const HttpFields& fields)
{
    ServerHeaders serverHeaders;
    serverHeaders.requestId = { std::string(Internal::fieldValue(fields, Internal::requestIdHeader)) };
    serverHeaders.server = { std::string(Internal::fieldValue(fields, Internal::serverIdHeader)) };
    serverHeaders.notRun
        = status == Internal::statusMisdirected || Internal::hasField(fields, Internal::notRunHeader);
    Internal::parseLoad(fields, serverHeaders);
    Internal::parseColdTime(fields, serverHeaders);
    serverHeaders.keepAliveTimeout
        = Internal::parseKeepAliveTimeout(Internal::fieldValue(fields, Internal::keepAliveHeader));
    Internal::parseRequestLimit(fields, serverHeaders);
    serverHeaders.isLeaving = Internal::fieldValue(fields, Internal::leavingHeader) == "1";
    if (status == Internal::statusUnavailable)
        Internal::parsePause(fields, serverHeaders);
    serverHeaders.handover = std::string(Internal::fieldValue(fields, Internal::handoverHeader));
    serverHeaders.isStamped = !Internal::fieldValue(fields, Internal::stampHeader).empty();
    return serverHeaders;
}

bool isNotRunStatus(unsigned status)
{
    constexpr std::array<unsigned, 4> statuses { 408, Internal::statusMisdirected, 429,
        Internal::statusUnavailable };
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

std::optional<std::uint64_t> parseStoreEra(const HttpFields& fields)
{
    return Internal::parseNumber<std::uint64_t>(Internal::fieldValue(fields, Internal::storeEraHeader));
}

void setForwardingHeaders(
    HttpFields& fields, const Utils::UpstreamId& upstream, Utils::Duration remainingTime)
{
    Internal::setField(fields, Internal::expectedServerHeader, upstream.value);
    setRemainingTime(fields, remainingTime);
}

void setRemainingTime(HttpFields& fields, Utils::Duration remainingTime)
{
    Internal::setField(fields, Internal::deadlineHeader,
        std::to_string(std::max<std::int64_t>(Utils::toMilliseconds(remainingTime), 1)));
}

void setRequestId(HttpFields& fields, const Utils::RequestId& id)
{
    if (!id.value.empty())
        Internal::setField(fields, Internal::requestIdHeader, id.value);
}

void removeHopByHopFields(HttpFields& fields)
{
    std::vector<std::string> connectionFields;
    for (const boost::string_view token : http::token_list(fields[http::field::connection]))
        connectionFields.emplace_back(token);
    for (const std::string& name : connectionFields)
        fields.erase(name);
    constexpr std::array<std::string_view, 10> removedFields { "Connection", Internal::keepAliveHeader,
        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding",
        "Upgrade", Internal::expectedServerHeader };
    for (const std::string_view name : removedFields)
        fields.erase(boost::string_view(name.data(), name.size()));
}

} // namespace Platform
