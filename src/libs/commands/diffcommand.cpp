#include <commands/diffcommand.h>

#include <commands/argumentparsing.h>
#include <commands/changereport.h>
#include <commands/declarationset.h>
#include <commands/faultreport.h>
#include <declarations/configurationdiff.h>
#include <declarations/successioncheck.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <tclap/SwitchArg.h>
#include <tclap/UnlabeledValueArg.h>

namespace Commands {

namespace {

using Declarations::Change;
using Declarations::Fault;

void writeResult(Console& console, OutputFormat format, const std::vector<Change>& changes,
    const std::vector<Fault>& faults)
{
    if (format == OutputFormat::Json) {
        boost::json::object document;
        document["result"] = faults.empty() ? "ok" : "faults";
        document["changes"] = Internal::changesToJson(changes);
        document["faults"] = Internal::faultsToJson(faults);
        console.out << boost::json::serialize(document) << '\n';
        return;
    }
    Internal::writeChanges(console.out, changes);
    if (!faults.empty())
        Internal::writeFaults(console, format, faults);
}

} // namespace

ExitCode runDiff(const std::vector<std::string>& arguments, Console console)
{
    TCLAP::CmdLine line(
        "Lists what changes from set A to set B, and what keeps B from following A. Ends with 0 "
        "with or without changes, 1 when a set has faults or B may not follow A, 5 when a path "
        "is not there.");
    TCLAP::SwitchArg json("", "json", "Write one JSON document", line);
    TCLAP::UnlabeledValueArg<std::string> first("a", "File or folder with set A", true, "", "A", line);
    TCLAP::UnlabeledValueArg<std::string> second("b", "File or folder with set B", true, "", "B", line);
    const std::optional<ExitCode> end = Internal::parseArguments(line, arguments, console);
    if (end.has_value())
        return *end;
    const OutputFormat format = json.getValue() ? OutputFormat::Json : OutputFormat::Text;
    const Internal::DeclarationSet before
        = Internal::readDeclarationSet(console, format, { first.getValue() });
    if (!before.configuration.has_value())
        return before.failure;
    const Internal::DeclarationSet after
        = Internal::readDeclarationSet(console, format, { second.getValue() });
    if (!after.configuration.has_value())
        return after.failure;
    const std::vector<Fault> faults
        = Declarations::checkSuccession(*before.configuration, *after.configuration, after.origins);
    writeResult(console, format,
        Declarations::diffConfigurations(*before.configuration, *after.configuration), faults);
    return faults.empty() ? ExitCode::Ok : ExitCode::Faults;
}

} // namespace Commands
