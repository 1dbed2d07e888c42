#include <commands/logarguments.h>

#include <settings/settingsreader.h>
#include <settings/settingvalue.h>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace leaf = boost::leaf;

namespace Commands::Internal {

namespace {

constexpr unsigned defaultTimeoutMs = 10'000;

bool isStreamName(const std::string& name, Console& console)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(Settings::nameValue("log-stream", name));
            return true;
        },
        [&] {
            console.error << "--log-stream: \"" << name << "\" is no name\n";
            return false;
        });
}

} // namespace

std::string environmentOr(const std::string& name, const std::string& fallback)
{
    return Settings::environmentVariable(name).value_or(fallback);
}

LogArguments::LogArguments(TCLAP::CmdLine& line)
    : log("", "log", "IP:PORT of the log service (or CROCUSFERRY_LOG)", false,
        environmentOr("CROCUSFERRY_LOG", ""), "IP:PORT", line)
    , stream("", "log-stream", "Stream of the log service (or CROCUSFERRY_LOG_STREAM)", false,
          environmentOr("CROCUSFERRY_LOG_STREAM", "crocusferry"), "NAME", line)
    , timeoutMs("", "timeout-ms", "Milliseconds after which the command gives up", false, defaultTimeoutMs,
          "NUMBER", line)
{
}

std::optional<LogService::Endpoint> readEndpoint(
    const std::string& option, const std::string& text, Console& console)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<LogService::Endpoint>> {
            BOOST_LEAF_AUTO(endpoint, Settings::endpointValue(option, text));
            return std::optional<LogService::Endpoint>({ endpoint.address, endpoint.port });
        },
        [&]() -> std::optional<LogService::Endpoint> {
            console.error << "--" << option << ": \"" << text << "\" is no IP:PORT\n";
            return std::nullopt;
        });
}

std::optional<LogView> openLog(const LogArguments& arguments, Console& console)
{
    const std::optional<LogService::Endpoint> service
        = readEndpoint("log", arguments.log.getValue(), console);
    if (!service.has_value() || !isStreamName(arguments.stream.getValue(), console))
        return std::nullopt;
    return LogView { { *service, arguments.stream.getValue() } };
}

Utils::Instant deadlineOf(const LogArguments& arguments)
{
    const unsigned bounded = std::min(arguments.timeoutMs.getValue(), maxTimeoutMs);
    return Utils::monotonicNow() + std::chrono::milliseconds(bounded);
}

std::optional<ExitCode> followLog(LogView& view, const LogArguments& arguments, Console& console)
{
    const std::optional<ExitCode> failure = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<ExitCode>> {
            BOOST_LEAF_CHECK(readToEnd(view, deadlineOf(arguments)));
            return std::optional<ExitCode>();
        },
        [&](LogService::PlatformError error) {
            console.error << "log " << arguments.log.getValue() << ": "
                          << Utils::enumName(LogService::platformErrorNames, error) << '\n';
            return std::optional<ExitCode>(ExitCode::LogUnreachable);
        },
        [] { return std::optional<ExitCode>(ExitCode::LogUnreachable); });
    if (failure.has_value())
        return failure;
    if (view.reader.status == Agreement::ReaderStatus::NeedsCheckpoint) {
        console.error << "log " << arguments.log.getValue()
                      << ": needs_checkpoint: the oldest records are gone and no checkpoint covers them\n";
        return ExitCode::LogUnreachable;
    }
    return std::nullopt;
}

} // namespace Commands::Internal
