#include <edge/forwardingheaders.h>

#include <charconv>
#include <string>
#include <string_view>

namespace Edge {

namespace Internal {

using Fields = boost::beast::http::fields;

constexpr const char* serviceHeader = "Crocus-Service";
constexpr const char* configurationHeader = "Crocus-Configuration";
constexpr const char* attemptsHeader = "Crocus-Attempts";
constexpr const char* outcomeHeader = "Crocus-Outcome";
constexpr const char* zoneHeader = "Crocus-Zone";
constexpr const char* leavingHeader = "Crocus-Leaving";
constexpr const char* startTimeHeader = "Crocus-Start-Time";

std::string takeField(Fields& fields, const char* name)
{
    const auto found = fields.find(name);
    if (found == fields.end())
        return {};
    std::string value(found->value().data(), found->value().size());
    fields.erase(name);
    return value;
}

template <typename Number> std::optional<Number> parseNumber(const std::string& text)
{
    Number number {};
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace Internal

void setForwardedRequest(boost::beast::http::fields& fields, const ForwardedRequest& forwarded)
{
    fields.set(Internal::serviceHeader, forwarded.service.value);
    fields.set(Internal::configurationHeader, std::to_string(forwarded.configurationVersion));
    fields.set(Internal::attemptsHeader, std::to_string(forwarded.maxAttempts));
}

std::optional<ForwardedRequest> takeForwardedRequest(boost::beast::http::fields& fields)
{
    ForwardedRequest forwarded;
    forwarded.service = { Internal::takeField(fields, Internal::serviceHeader) };
    const std::optional<std::uint64_t> version
        = Internal::parseNumber<std::uint64_t>(Internal::takeField(fields, Internal::configurationHeader));
    const std::optional<unsigned> attempts
        = Internal::parseNumber<unsigned>(Internal::takeField(fields, Internal::attemptsHeader));
    if (forwarded.service.value.empty() || !version || !attempts || *attempts == 0)
        return std::nullopt;
    forwarded.configurationVersion = *version;
    forwarded.maxAttempts = *attempts;
    return forwarded;
}

void setForwardingOutcome(
    boost::beast::http::fields& fields, ForwardingOutcome outcome, const Utils::ZoneId& zone)
{
    const std::string_view name = Utils::enumName(forwardingOutcomeNames, outcome);
    fields.set(Internal::outcomeHeader, boost::string_view(name.data(), name.size()));
    fields.set(Internal::zoneHeader, zone.value);
}

ForwardingOutcome takeForwardingOutcome(boost::beast::http::fields& fields, Utils::ZoneId& zone)
{
    zone = { Internal::takeField(fields, Internal::zoneHeader) };
    const std::string name = Internal::takeField(fields, Internal::outcomeHeader);
    return Utils::enumFromName(forwardingOutcomeNames, name).value_or(ForwardingOutcome::Unknown);
}

void setForwardedLeaving(boost::beast::http::fields& fields, const Relay::LeavingNotice& notice)
{
    fields.set(Internal::leavingHeader, notice.upstream.value);
    fields.set(Internal::startTimeHeader, std::to_string(notice.startTimeMs));
}

std::optional<Relay::LeavingNotice> takeForwardedLeaving(boost::beast::http::fields& fields)
{
    const std::string upstream = Internal::takeField(fields, Internal::leavingHeader);
    const std::optional<std::uint64_t> startTimeMs
        = Internal::parseNumber<std::uint64_t>(Internal::takeField(fields, Internal::startTimeHeader));
    if (upstream.empty() || !startTimeMs)
        return std::nullopt;
    return Relay::LeavingNotice { { upstream }, *startTimeMs };
}

} // namespace Edge
