#include <commands/statuscommand.h>

#include <commands/argumentparsing.h>
#include <commands/logarguments.h>
#include <commands/outputformat.h>
#include <commands/standingreport.h>
#include <commands/vmarguments.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <tclap/SwitchArg.h>

#include <algorithm>

namespace Commands {

namespace {

using Internal::LogView;

void writeStatus(
    Console& console, OutputFormat format, const LogView& view, const std::vector<VmStanding>& standings)
{
    const Utils::Offset inForce = view.reader.state.agreed.configurationOffset;
    if (format == OutputFormat::Json) {
        boost::json::object document;
        document["configuration_offset"] = inForce;
        document["end"] = view.end;
        document["vms"] = Internal::standingsToJson(standings, inForce);
        console.out << boost::json::serialize(document) << '\n';
        return;
    }
    console.out << "log: configuration at offset " << inForce << ", next record at " << view.end << '\n';
    for (const VmStanding& standing : standings)
        Internal::writeStanding(console.out, standing, view.end, inForce);
}

ExitCode statusOf(const LogView& view, const std::vector<VmStanding>& standings)
{
    const Utils::Offset inForce = view.reader.state.agreed.configurationOffset;
    const bool lagging = std::any_of(standings.begin(), standings.end(),
        [inForce](const VmStanding& standing) { return isLagging(standing, inForce); });
    return lagging ? ExitCode::Lagging : ExitCode::Ok;
}

} // namespace

ExitCode runStatus(const std::vector<std::string>& arguments, Console console)
{
    TCLAP::CmdLine line(
        "Shows for each VM on the VM list at which configuration it stands, how far it has read the "
        "log, and which pools it dispatches. Ends with 0 when all answered and have the configuration "
        "in force, 4 when the log could not be read, 5 when the VM list could not be read, 6 when a "
        "VM lags or did not answer.");
    Internal::LogArguments log(line);
    Internal::VmArguments vms(line);
    TCLAP::SwitchArg json("", "json", "Write one JSON document", line);
    const std::optional<ExitCode> end = Internal::parseArguments(line, arguments, console);
    if (end.has_value())
        return *end;
    std::optional<LogView> view = Internal::openLog(log, console);
    const std::optional<LogService::Endpoint> list
        = Internal::readEndpoint("vms", vms.vms.getValue(), console);
    if (!view.has_value() || !list.has_value())
        return ExitCode::Usage;
    const std::optional<ExitCode> failure = Internal::followLog(*view, log, console);
    const std::optional<std::vector<VmStanding>> standings = Internal::askListedVms(vms, *list, console);
    if (!standings.has_value())
        return ExitCode::NotFound;
    writeStatus(console, json.getValue() ? OutputFormat::Json : OutputFormat::Text, *view, *standings);
    return failure.value_or(statusOf(*view, *standings));
}

} // namespace Commands
