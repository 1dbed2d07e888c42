#include <commands/showcommand.h>

#include <commands/agreedreport.h>
#include <commands/argumentparsing.h>
#include <commands/logarguments.h>

#include <boost/json/serialize.hpp>

#include <tclap/SwitchArg.h>

namespace Commands {

namespace {

/// What the options ask for.
struct ShowChoice {
    bool json = false;
    bool declarations = false;
};

ExitCode showAgreed(Console& console, const ShowChoice& choice, const Agreement::AgreedState& agreed)
{
    if (agreed.configurationOffset == 0) {
        console.error << "not_found: no configuration is in force\n";
        return ExitCode::NotFound;
    }
    if (choice.declarations) {
        Internal::writeDeclarations(console.out, agreed.configurationText);
        return ExitCode::Ok;
    }
    if (choice.json) {
        console.out << boost::json::serialize(Internal::agreedToJson(agreed)) << '\n';
        return ExitCode::Ok;
    }
    Internal::writeAgreed(console.out, agreed);
    return ExitCode::Ok;
}

} // namespace

ExitCode runShow(const std::vector<std::string>& arguments, Console console)
{
    TCLAP::CmdLine line(
        "Shows the configuration in force, by its offset, and the assignment of each pool. Ends with "
        "0, with 4 when the log could not be read, with 5 when no configuration is in force.");
    Internal::LogArguments log(line);
    TCLAP::SwitchArg declarations("", "declarations",
        "Write only the declarations in force, as a document that check and publish read", line);
    TCLAP::SwitchArg json("", "json", "Write one JSON document, with every shard", line);
    const std::optional<ExitCode> end = Internal::parseArguments(line, arguments, console);
    if (end.has_value())
        return *end;
    std::optional<Internal::LogView> view = Internal::openLog(log, console);
    if (!view.has_value())
        return ExitCode::Usage;
    const std::optional<ExitCode> failure = Internal::followLog(*view, log, console);
    if (failure.has_value())
        return *failure;
    return showAgreed(console, { json.getValue(), declarations.getValue() }, view->reader.state.agreed);
}

} // namespace Commands
