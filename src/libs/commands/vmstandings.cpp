#include <commands/vmstandings.h>

#include <commands/commandsconstants.h>
#include <logservice/adminclient.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <atomic>
#include <optional>
#include <thread>
#include <utility>

namespace leaf = boost::leaf;

namespace Commands::Internal {

namespace {

using LogService::PlatformError;

std::optional<std::uint64_t> numberIn(const boost::json::object& object, std::string_view field)
{
    const boost::json::value* value = object.if_contains(field);
    boost::json::error_code error;
    if (!value || !value->is_number())
        return std::nullopt;
    const std::uint64_t number = value->to_number<std::uint64_t>(error);
    if (error)
        return std::nullopt;
    return number;
}

std::string textIn(const boost::json::object& object, std::string_view field)
{
    const boost::json::value* value = object.if_contains(field);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

bool flagIn(const boost::json::object& object, std::string_view field)
{
    const boost::json::value* value = object.if_contains(field);
    return value && value->is_bool() && value->get_bool();
}

std::vector<PoolDuty> dutiesIn(const boost::json::object& status)
{
    std::vector<PoolDuty> duties;
    const boost::json::value* value = status.if_contains("duties");
    if (!value || !value->is_object())
        return duties;
    for (const boost::json::key_value_pair& entry : value->get_object()) {
        if (!entry.value().is_object())
            continue;
        const boost::json::object& duty = entry.value().get_object();
        duties.push_back({ Utils::PoolId { std::string(entry.key()) }, textIn(duty, "role"),
            numberIn(duty, "served").value_or(0), numberIn(duty, "shards").value_or(0) });
    }
    return duties;
}

VmStanding failedStanding(const LogService::VmEntry& entry, PlatformError error)
{
    VmStanding standing;
    standing.entry = entry;
    standing.failure = Utils::enumName(LogService::platformErrorNames, error);
    return standing;
}

VmStanding askVm(const LogService::VmEntry& entry, std::uint16_t adminPort)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<VmStanding> {
            BOOST_LEAF_AUTO(text, LogService::fetchStatus({ entry.address, adminPort }, callTimeout));
            return readStanding(entry, text);
        },
        [&](PlatformError error) { return failedStanding(entry, error); },
        [&] { return failedStanding(entry, PlatformError::Malformed); });
}

} // namespace

VmStanding readStanding(const LogService::VmEntry& entry, std::string_view text)
{
    boost::json::error_code error;
    const boost::json::value document = boost::json::parse(text, error);
    if (error || !document.is_object())
        return failedStanding(entry, PlatformError::Malformed);
    const boost::json::object& status = document.get_object();
    const std::optional<std::uint64_t> applied = numberIn(status, "applied");
    const std::optional<std::uint64_t> configurationOffset = numberIn(status, "configuration_offset");
    if (!applied.has_value() || !configurationOffset.has_value())
        return failedStanding(entry, PlatformError::Malformed);
    VmStanding standing;
    standing.entry = entry;
    standing.answered = true;
    standing.applied = *applied;
    standing.configurationOffset = *configurationOffset;
    standing.logStatus = textIn(status, "log_status");
    standing.leaving = flagIn(status, "leaving");
    standing.duties = dutiesIn(status);
    return standing;
}

std::vector<VmStanding> askVms(const std::vector<LogService::VmEntry>& entries, std::uint16_t adminPort)
{
    std::vector<VmStanding> standings(entries.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> threads;
    const std::size_t count = std::min(parallelStatusCalls, entries.size());
    threads.reserve(count);
    for (std::size_t i = 0; i < count; i += 1) {
        threads.emplace_back([&] {
            for (std::size_t at = next++; at < entries.size(); at = next++)
                standings[at] = askVm(entries[at], adminPort);
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    return standings;
}

} // namespace Commands::Internal
