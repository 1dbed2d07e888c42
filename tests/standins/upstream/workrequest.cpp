#include <standins/upstream/workrequest.h>

#include <standins/upstream/faultsettings.h>

#include <utils/hash.h>

#include <charconv>
#include <string_view>
#include <system_error>

namespace StandInUpstream {

namespace Internal {

constexpr int hexBase = 16;

template <typename Number> std::optional<Number> numberFrom(std::string_view text, int base = 10)
{
    Number number {};
    const std::from_chars_result result
        = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::string_view header(const HttpRequest& request, std::string_view name)
{
    const HttpRequest::const_iterator found = request.find(name);
    if (found == request.end())
        return {};
    return found->value();
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const std::optional<unsigned> byte = text[index] == '%' && index + 2 < text.size()
            ? numberFrom<unsigned>(text.substr(index + 1, 2), hexBase)
            : std::nullopt;
        if (!byte) {
            decoded.push_back(text[index]);
            continue;
        }
        decoded.push_back(static_cast<char>(*byte));
        index += 2;
    }
    return decoded;
}

/// The second part of the path.
std::string keyFrom(std::string_view target)
{
    const std::string_view path = target.substr(0, target.find('?'));
    const std::size_t serviceEnd = path.find('/', 1);
    if (serviceEnd == std::string_view::npos)
        return {};
    const std::string_view rest = path.substr(serviceEnd + 1);
    return percentDecoded(rest.substr(0, rest.find('/')));
}

std::optional<std::uint64_t> answerBytesFrom(std::string_view target)
{
    constexpr std::string_view name = "size=";
    const std::size_t query = target.find('?');
    if (query == std::string_view::npos)
        return std::nullopt;
    const std::size_t start = target.find(name, query);
    if (start == std::string_view::npos)
        return std::nullopt;
    const std::string_view value = target.substr(start + name.size());
    return numberFrom<std::uint64_t>(value.substr(0, value.find('&')));
}

std::optional<Ownership::GrantLevel> levelFrom(std::string_view text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const std::optional<Utils::Offset> token = numberFrom<Utils::Offset>(text.substr(0, dot));
    const std::optional<std::uint32_t> epoch = numberFrom<std::uint32_t>(text.substr(dot + 1));
    if (!token || !epoch)
        return std::nullopt;
    return Ownership::GrantLevel { *token, *epoch };
}

std::optional<std::chrono::milliseconds> timeLeftFrom(std::string_view text)
{
    const std::optional<std::int64_t> count = numberFrom<std::int64_t>(text);
    if (!count)
        return std::nullopt;
    return std::chrono::milliseconds(*count);
}

bool carriesCrashMarker(const HttpRequest& request)
{
    const std::string_view target = request.target();
    return target.find(crashMarker) != std::string_view::npos
        || request.body().find(crashMarker) != std::string::npos
        || header(request, "Crash-Upstream") == crashMarker;
}

} // namespace Internal

WorkRequest workRequestFrom(const HttpRequest& request)
{
    WorkRequest work;
    work.method = std::string(request.method_string());
    work.key = Internal::keyFrom(request.target());
    work.shard.value = std::string(Internal::header(request, "Shard"));
    work.level = Internal::levelFrom(Internal::header(request, "Fencing-Token"));
    work.requestId = std::string(Internal::header(request, "Request-Id"));
    work.request = std::string(Internal::header(request, "Caller-Request"));
    work.attempt = Internal::numberFrom<unsigned>(Internal::header(request, "Caller-Attempt")).value_or(0);
    work.idempotencyKey = std::string(Internal::header(request, "Idempotency-Key"));
    work.rank = std::string(Internal::header(request, "Request-Rank"));
    work.timeLeft = Internal::timeLeftFrom(Internal::header(request, "Request-Timeout-Ms"));
    work.bodyDigest = Utils::stableHash(request.body());
    work.answerBytes = Internal::answerBytesFrom(request.target());
    work.crashes = Internal::carriesCrashMarker(request);
    return work;
}

} // namespace StandInUpstream
