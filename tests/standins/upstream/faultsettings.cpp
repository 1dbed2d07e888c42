#include <standins/upstream/faultsettings.h>

#include <boost/json/parse.hpp>

#include <array>
#include <cstdint>

namespace StandInUpstream {

namespace Internal {

using ApplyFault = bool (*)(FaultCommand& command, const boost::json::value& value);

/// One row of the table of faults: its name in JSON and how its value is taken.
struct FaultRow {
    std::string_view name;
    ApplyFault apply;
};

bool takeBool(bool& field, const boost::json::value& value)
{
    if (!value.is_bool())
        return false;
    field = value.get_bool();
    return true;
}

bool takeCount(unsigned& field, const boost::json::value& value)
{
    boost::system::error_code error;
    const unsigned count = value.to_number<unsigned>(error);
    if (error)
        return false;
    field = count;
    return true;
}

bool takeMilliseconds(std::chrono::milliseconds& field, const boost::json::value& value)
{
    boost::system::error_code error;
    const std::int64_t count = value.to_number<std::int64_t>(error);
    if (error || count < 0)
        return false;
    field = std::chrono::milliseconds(count);
    return true;
}

const std::array<FaultRow, 11> faultRows { {
    { "shed",
        [](FaultCommand& command, const boost::json::value& value) {
            return takeBool(command.settings.shed, value);
        } },
    { "drain",
        [](FaultCommand& command, const boost::json::value& value) {
            return takeBool(command.settings.drain, value);
        } },
    { "slow_ms",
        [](FaultCommand& command, const boost::json::value& value) {
            return takeMilliseconds(command.settings.slow, value);
        } },
    { "freeze_ms",
        [](FaultCommand& command, const boost::json::value& value) {
            return takeMilliseconds(command.freeze, value);
        } },
    { "crash_on_marker",
        [](FaultCommand& command, const boost::json::value& value) {
            return takeBool(command.settings.crashOnMarker, value);
        } },
    { "lose_answer_next",
        [](FaultCommand& command, const boost::json::value& value) {
            return takeCount(command.settings.loseAnswers, value);
        } },
    { "cut_answer_next",
        [](FaultCommand& command, const boost::json::value& value) {
            return takeCount(command.settings.cutAnswers, value);
        } },
    { "silent",
        [](FaultCommand& command, const boost::json::value& value) {
            return takeBool(command.settings.silent, value);
        } },
    { "silence_open_connections",
        [](FaultCommand& command, const boost::json::value& value) {
            return takeBool(command.silenceOpenConnections, value);
        } },
    { "health_lag_ms",
        [](FaultCommand& command, const boost::json::value& value) {
            return takeMilliseconds(command.settings.healthLag, value);
        } },
    { "health_lies",
        [](FaultCommand& command, const boost::json::value& value) {
            return takeBool(command.settings.healthLies, value);
        } },
} };

bool applyFault(FaultCommand& command, std::string_view name, const boost::json::value& value)
{
    for (const FaultRow& row : faultRows) {
        if (row.name == name)
            return row.apply(command, value);
    }
    return false;
}

} // namespace Internal

std::optional<FaultCommand> faultCommandFrom(const FaultSettings& settings, std::string_view body)
{
    boost::system::error_code error;
    const boost::json::value parsed = boost::json::parse(body, error);
    if (error || !parsed.is_object())
        return std::nullopt;
    FaultCommand command;
    command.settings = settings;
    for (const boost::json::key_value_pair& field : parsed.get_object()) {
        if (!Internal::applyFault(command, field.key(), field.value()))
            return std::nullopt;
    }
    return command;
}

boost::json::object toJson(const FaultSettings& settings)
{
    boost::json::object object;
    object["shed"] = settings.shed;
    object["drain"] = settings.drain;
    object["slow_ms"] = settings.slow.count();
    object["crash_on_marker"] = settings.crashOnMarker;
    object["lose_answer_next"] = settings.loseAnswers;
    object["cut_answer_next"] = settings.cutAnswers;
    object["silent"] = settings.silent;
    object["health_lag_ms"] = settings.healthLag.count();
    object["health_lies"] = settings.healthLies;
    return object;
}

} // namespace StandInUpstream
