#include <logging/linebudget.h>
#include <logging/log.h>
#include <logging/stdoutdispatch.h>

#include <boost/json.hpp>
#include <easylogging++.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <optional>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace Logging {

namespace Internal {

std::atomic<Level> lowestLevel = Level::Info;
std::string processName;

boost::json::object lineObject(
    Level level, std::string_view process, std::string_view event, std::initializer_list<Field> fields)
{
    boost::json::object line;
    line["level"] = Utils::enumName(levelNames, level);
    line["process"] = process;
    line["event"] = event;
    for (const Field& field : fields)
        std::visit([&line, &field](const auto& value) { line[field.name] = value; }, field.value);
    return line;
}

std::mutex budgetMutex;
LineBudget budget;

/// Lines that were dropped or blocked since the last one, if one more may be written.
std::optional<std::uint64_t> mayWrite()
{
    const std::lock_guard<std::mutex> lock(budgetMutex);
    if (!takeLine(budget, Utils::monotonicNow()))
        return std::nullopt;
    return std::exchange(budget.dropped, 0);
}

std::int64_t wallMicroseconds()
{
    const std::chrono::system_clock::duration sinceEpoch
        = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
}

} // namespace Internal

void configure(Level lowest, std::string_view process)
{
    Internal::lowestLevel = lowest;
    Internal::processName = process;
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format, "%msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::reconfigureLogger("default", settings);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<Internal::StdoutDispatch>("StdoutDispatch");
}

void write(Level level, std::string_view event, std::initializer_list<Field> fields)
{
    if (level < Internal::lowestLevel)
        return;
    const std::optional<std::uint64_t> dropped = Internal::mayWrite();
    if (!dropped)
        return;
    boost::json::object line = Internal::lineObject(level, Internal::processName, event, fields);
    line["time_us"] = Internal::wallMicroseconds();
    if (*dropped > 0)
        line["lines_dropped"] = *dropped;
    LOG(INFO) << boost::json::serialize(line);
}

std::string formatLine(
    Level level, std::string_view process, std::string_view event, std::initializer_list<Field> fields)
{
    return boost::json::serialize(Internal::lineObject(level, process, event, fields));
}

} // namespace Logging
