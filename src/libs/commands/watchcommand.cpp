#include <commands/watchcommand.h>

#include <commands/argumentparsing.h>
#include <commands/changereport.h>
#include <commands/logarguments.h>
#include <commands/outputformat.h>
#include <commands/recordreport.h>
#include <declarations/configurationdiff.h>

#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <tclap/SwitchArg.h>

#include <thread>

namespace leaf = boost::leaf;

namespace Commands {

namespace {

using Declarations::Configuration;
using Internal::LogStep;
using Internal::LogView;

void writeStep(Console& console, OutputFormat format, const LogStep& step)
{
    for (const Agreement::JudgedRecord& judged : step.judged) {
        for (const Agreement::LogRecord& record : step.records) {
            if (record.offset != judged.offset)
                continue;
            const Internal::RecordSummary summary
                = Internal::summarizeRecord(judged.offset, judged.verdict, record.data);
            if (format == OutputFormat::Json)
                console.out << boost::json::serialize(Internal::summaryToJson(summary)) << std::endl;
            else
                Internal::writeSummary(console.out, summary);
        }
    }
}

/// Writes what came into force since \a before.
void writeNewConfiguration(
    Console& console, OutputFormat format, const Configuration& before, const LogView& view)
{
    if (format == OutputFormat::Json || !view.reader.state.configuration.has_value())
        return;
    const Configuration& after = *view.reader.state.configuration;
    if (before != after)
        Internal::writeChanges(console.out, Declarations::diffConfigurations(before, after));
}

/// What a watch has told of the log's failures.
struct WatchState {
    std::optional<LogService::PlatformError> failure;
};

/// Names a failure once, and its end.
void noteFailure(Console& console, WatchState& state, std::optional<LogService::PlatformError> failure)
{
    if (failure == state.failure)
        return;
    state.failure = failure;
    console.error << "log: "
                  << (failure.has_value() ? Utils::enumName(LogService::platformErrorNames, *failure)
                                          : "answers again")
                  << std::endl;
}

/// Reads once; after a failure the next call tries again.
void watchOnce(Console& console, OutputFormat format, LogView& view, WatchState& state)
{
    const Configuration before = view.reader.state.configuration.value_or(Configuration {});
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(step, Internal::readOn(view, readWait));
            noteFailure(console, state, std::nullopt);
            writeStep(console, format, step);
            writeNewConfiguration(console, format, before, view);
            return {};
        },
        [&](LogService::PlatformError error) {
            noteFailure(console, state, error);
            std::this_thread::sleep_for(retryPause);
        },
        [] { std::this_thread::sleep_for(retryPause); });
}

} // namespace

ExitCode runWatch(const std::vector<std::string>& arguments, Console console)
{
    TCLAP::CmdLine line(
        "Writes a line for each record of the log: its offset, the verdict on it, its kind, its writer "
        "and its content; and what a new configuration changes. Begins with what the log keeps, goes on "
        "until it is ended or --seconds have passed, and outlasts outages of the log. Ends with 0.");
    Internal::LogArguments log(line);
    TCLAP::ValueArg<unsigned> seconds(
        "", "seconds", "Seconds after which to end; 0 for never", false, 0, "NUMBER", line);
    TCLAP::SwitchArg json("", "json", "Write one JSON document a line", line);
    const std::optional<ExitCode> end = Internal::parseArguments(line, arguments, console);
    if (end.has_value())
        return *end;
    std::optional<LogView> view = Internal::openLog(log, console);
    if (!view.has_value())
        return ExitCode::Usage;
    const OutputFormat format = json.getValue() ? OutputFormat::Json : OutputFormat::Text;
    const Utils::Instant until = Utils::monotonicNow() + std::chrono::seconds(seconds.getValue());
    WatchState state;
    while (seconds.getValue() == 0 || Utils::monotonicNow() < until)
        watchOnce(console, format, *view, state);
    return ExitCode::Ok;
}

} // namespace Commands
