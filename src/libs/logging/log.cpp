#include <logging/log.h>

#include <boost/json.hpp>
#include <easylogging++.h>

#include <atomic>
#include <chrono>

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
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureLogger("default", settings);
}

void write(Level level, std::string_view event, std::initializer_list<Field> fields)
{
    if (level < Internal::lowestLevel)
        return;
    boost::json::object line = Internal::lineObject(level, Internal::processName, event, fields);
    line["time_us"] = Internal::wallMicroseconds();
    LOG(INFO) << boost::json::serialize(line);
}

std::string formatLine(
    Level level, std::string_view process, std::string_view event, std::initializer_list<Field> fields)
{
    return boost::json::serialize(Internal::lineObject(level, process, event, fields));
}

} // namespace Logging
