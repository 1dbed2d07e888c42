#include <standins/caller/mixrow.h>

#include <charconv>
#include <system_error>

namespace StandInCaller {

namespace Internal {

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (true) {
        const std::size_t end = text.find(separator, start);
        parts.emplace_back(text.substr(start, end - start));
        if (end == std::string_view::npos)
            return parts;
        start = end + 1;
    }
}

template <typename Number> bool takeNumber(const std::string& text, Number& number)
{
    const char* end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, number);
    return result.ec == std::errc() && result.ptr == end;
}

constexpr std::size_t fewestParts = 4;
constexpr std::size_t mostParts = 6;

std::optional<MixRow> rowFrom(std::string_view text)
{
    const std::vector<std::string> parts = split(text, ':');
    if (parts.size() < fewestParts || parts.size() > mostParts)
        return std::nullopt;
    MixRow row;
    row.rank = parts[0];
    row.method = parts[1];
    row.service = parts[2];
    if (!takeNumber(parts[3], row.weight) || row.weight <= 0)
        return std::nullopt;
    if (parts.size() > fewestParts && !takeNumber(parts[4], row.bytes))
        return std::nullopt;
    std::int64_t timeout = 0;
    if (parts.size() == mostParts && !takeNumber(parts[5], timeout))
        return std::nullopt;
    row.timeout = std::chrono::milliseconds(timeout);
    return row;
}

} // namespace Internal

std::optional<std::vector<MixRow>> mixFrom(std::string_view text)
{
    std::vector<MixRow> mix;
    for (const std::string& part : Internal::split(text, ',')) {
        std::optional<MixRow> row = Internal::rowFrom(part);
        if (!row)
            return std::nullopt;
        mix.push_back(std::move(*row));
    }
    return mix;
}

} // namespace StandInCaller
