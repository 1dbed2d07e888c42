#include <commands/publishcommand.h>

#include <commands/argumentparsing.h>
#include <commands/changereport.h>
#include <commands/declarationset.h>
#include <commands/faultreport.h>
#include <commands/logarguments.h>
#include <commands/publishing.h>
#include <declarations/configurationdiff.h>
#include <declarations/configurationwriter.h>
#include <declarations/successioncheck.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <tclap/SwitchArg.h>
#include <tclap/UnlabeledMultiArg.h>

#include <charconv>
#include <random>

namespace Commands {

namespace {

using Internal::LogView;
using Internal::PublishResult;

/// The arguments of one call, read and parsed.
struct PublishCall {
    OutputFormat format = OutputFormat::Text;
    std::string base;
    std::string operatorName;
};

std::optional<Utils::Offset> baseOffset(const std::string& text, const Agreement::AgreedState& agreed)
{
    if (text == "latest")
        return agreed.configurationOffset;
    Utils::Offset offset = 0;
    const std::from_chars_result read = std::from_chars(text.data(), text.data() + text.size(), offset);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size())
        return std::nullopt;
    return offset;
}

/// A number that no other call of any operator has.
Utils::Incarnation newIncarnation()
{
    constexpr unsigned keptBits = 53;
    std::random_device source;
    const std::uint64_t high = source();
    const std::uint64_t value = (high << 32) | source();
    return (value >> (64 - keptBits)) + 1;
}

std::string_view explanation(PublishOutcome outcome)
{
    switch (outcome) {
    case PublishOutcome::Accepted:
        return "it is in force";
    case PublishOutcome::Conflict:
        return "another configuration was accepted since the base; nothing was changed";
    case PublishOutcome::RangeInUse:
        return "it gives other keys to a range that is still in use; nothing was changed";
    case PublishOutcome::Refused:
        return "the VMs' rules refuse it; nothing was changed";
    case PublishOutcome::TooLarge:
        return "the log does not take a record of its size; nothing was changed";
    case PublishOutcome::NotAppended:
        return "the log could not be reached; nothing was changed";
    case PublishOutcome::Unknown:
        return "the log did not show the verdict in time; it may come into force, and publishing it again is "
               "safe";
    }
    return "";
}

ExitCode exitCodeOf(PublishOutcome outcome)
{
    switch (outcome) {
    case PublishOutcome::Accepted:
        return ExitCode::Ok;
    case PublishOutcome::Conflict:
    case PublishOutcome::RangeInUse:
        return ExitCode::Conflict;
    case PublishOutcome::Refused:
    case PublishOutcome::TooLarge:
        return ExitCode::Faults;
    case PublishOutcome::NotAppended:
    case PublishOutcome::Unknown:
        break;
    }
    return ExitCode::LogUnreachable;
}

ExitCode writeResult(
    Console& console, const PublishCall& call, const LogView& view, const PublishResult& result)
{
    const std::string_view name = Utils::enumName(publishOutcomeNames, result.outcome);
    const Utils::Offset inForce = view.reader.state.agreed.configurationOffset;
    if (call.format == OutputFormat::Json) {
        boost::json::object document;
        document["result"] = name;
        document["offset"] = result.offset;
        document["in_force"] = inForce;
        console.out << boost::json::serialize(document) << '\n';
        return exitCodeOf(result.outcome);
    }
    std::ostream& stream = result.outcome == PublishOutcome::Accepted ? console.out : console.error;
    stream << name;
    if (result.outcome == PublishOutcome::Accepted)
        stream << " at offset " << result.offset;
    stream << ": " << explanation(result.outcome);
    if (result.outcome == PublishOutcome::Conflict)
        stream << "; in force is the one at offset " << inForce;
    stream << '\n';
    return exitCodeOf(result.outcome);
}

/// What keeps \a set from following what is in force.
std::vector<Declarations::Fault> successionFaults(const LogView& view, const Internal::DeclarationSet& set)
{
    if (!view.reader.state.configuration.has_value())
        return {};
    return Declarations::checkSuccession(*view.reader.state.configuration, *set.configuration, set.origins);
}

void writePlannedChanges(Console& console, const LogView& view, const Internal::DeclarationSet& set)
{
    const Declarations::Configuration before
        = view.reader.state.configuration.value_or(Declarations::Configuration {});
    Internal::writeChanges(console.out, Declarations::diffConfigurations(before, *set.configuration));
}

ExitCode publishSet(Console& console, const PublishCall& call, LogView& view,
    const Internal::DeclarationSet& set, Utils::Instant deadline)
{
    const std::optional<Utils::Offset> base = baseOffset(call.base, view.reader.state.agreed);
    if (!base.has_value()) {
        console.error << "--base: must be an offset or \"latest\"\n";
        return ExitCode::Usage;
    }
    Internal::awaitOffset(view, *base, deadline);
    const Agreement::AgreedState& agreed = view.reader.state.agreed;
    const std::string text = Declarations::writeConfiguration(*set.configuration);
    if (agreed.configurationOffset != 0 && text == agreed.configurationText)
        return writeResult(console, call, view, { PublishOutcome::Accepted, agreed.configurationOffset });
    if (*base != agreed.configurationOffset)
        return writeResult(console, call, view, { PublishOutcome::Conflict, 0 });
    const std::vector<Declarations::Fault> faults = successionFaults(view, set);
    if (!faults.empty()) {
        Internal::writeFaults(console, call.format, faults);
        return ExitCode::Faults;
    }
    if (call.format == OutputFormat::Text)
        writePlannedChanges(console, view, set);
    const Agreement::RecordHeader header {
        { Agreement::WriterKind::Operator, call.operatorName, newIncarnation() }, 1
    };
    const PublishResult result = Internal::publishRecord(view, { header, *base, text }, deadline);
    return writeResult(console, call, view, result);
}

} // namespace

ExitCode runPublish(const std::vector<std::string>& arguments, Console console)
{
    TCLAP::CmdLine line("Checks a set of declarations and puts it in force in place of the one at the base, "
                        "whose offset `show` "
                        "prints. Ends with 0 when the set is in force, 1 when it has faults or may not "
                        "follow what is in force, "
                        "3 when another one was accepted since the base, 4 when the log could not be reached "
                        "or showed no verdict "
                        "in time, 5 when a path is not there. In all cases but 0 and 4 nothing was changed.");
    Internal::LogArguments log(line);
    TCLAP::ValueArg<std::string> base("", "base",
        "Offset of the configuration that the set was made from (0 for none), or \"latest\" to replace "
        "whatever is "
        "in force",
        true, "", "OFFSET|latest", line);
    TCLAP::ValueArg<std::string> name("", "operator", "Who publishes (or CROCUSFERRY_OPERATOR)", false,
        Internal::environmentOr("CROCUSFERRY_OPERATOR", "operator"), "NAME", line);
    TCLAP::SwitchArg json("", "json", "Write one JSON document", line);
    TCLAP::UnlabeledMultiArg<std::string> paths(
        "path", "Files, or folders whose *.json files belong to the set", true, "PATH", line);
    const std::optional<ExitCode> end = Internal::parseArguments(line, arguments, console);
    if (end.has_value())
        return *end;
    const PublishCall call { json.getValue() ? OutputFormat::Json : OutputFormat::Text, base.getValue(),
        name.getValue() };
    const Internal::DeclarationSet set = Internal::readDeclarationSet(console, call.format, paths.getValue());
    if (!set.configuration.has_value())
        return set.failure;
    std::optional<LogView> view = Internal::openLog(log, console);
    if (!view.has_value())
        return ExitCode::Usage;
    const Utils::Instant deadline = Internal::deadlineOf(log);
    const std::optional<ExitCode> failure = Internal::followLog(*view, log, console);
    if (failure.has_value())
        return *failure;
    return publishSet(console, call, *view, set, deadline);
}

} // namespace Commands
