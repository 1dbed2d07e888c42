#include <edge/service.h>
#include <logging/log.h>
#include <platform/decodeerror.h>
#include <platform/fieldname.h>
#include <platform/settingsfile.h>

#include <boost/leaf.hpp>
#include <boost/system/system_error.hpp>
#include <tclap/CmdLine.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace {

namespace leaf = boost::leaf;

constexpr int exitBadSettings = 2;
constexpr int exitCannotListen = 3;

/// Returns a random number that identifies this start of the VM; collisions are improbable.
Utils::Incarnation generateIncarnation()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> distribution(1, INT64_MAX);
    return distribution(device);
}

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::optional<Routing::VmSettings> readSettings(const std::string& path)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Routing::VmSettings>> {
            BOOST_LEAF_AUTO(settings, Platform::decodeSettings(readFile(path)));
            return std::optional<Routing::VmSettings>(settings);
        },
        [&](Platform::DecodeError error, const Platform::FieldName& field) {
            Logging::write(Logging::Level::Error, "settings_unusable",
                { { "path", path }, { "field", field.name },
                    { "error", Utils::enumName(Platform::decodeErrorNames, error) } });
            return std::optional<Routing::VmSettings>();
        },
        [&]() {
            Logging::write(Logging::Level::Error, "settings_unusable", { { "path", path } });
            return std::optional<Routing::VmSettings>();
        });
}

/// Runs the handlers until the service stops. A handler that fails ends what it was doing, whose timers
/// answer the caller; the others go on.
void runHandlers(boost::asio::io_context& context, Edge::Counters& counters)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (const std::exception& error) {
            ++counters.failedHandlers;
            Logging::write(Logging::Level::Error, "handler_failed", { { "error", error.what() } });
        }
    }
}

int runService(const std::string& path, const Routing::VmSettings& settings)
{
    boost::asio::io_context context(1);
    Edge::Service service(context, settings, generateIncarnation());
    service.loadSettings = [&path] { return readSettings(path); };
    Logging::write(Logging::Level::Info, "started",
        { { "vm", settings.name.value }, { "version", CROCUS_VERSION }, { "zone", settings.zone.value },
            { "incarnation", service.node.incarnation } });
    try {
        Edge::startService(service);
    } catch (const boost::system::system_error& error) {
        Logging::write(Logging::Level::Error, "cannot_listen", { { "error", error.code().message() } });
        return exitCannotListen;
    }
    runHandlers(context, service.node.counters);
    return EXIT_SUCCESS;
}

struct Options {
    std::string settingsPath;
    std::uint16_t upstreamPortOffset = 0;
    Routing::WorkQueueMode workQueueMode = Routing::WorkQueueMode::Auto;
};

Options parseOptions(int argc, char** argv)
{
    TCLAP::CmdLine command(
        "Edge proxy that routes requests on each VM to upstream servers that own keys exclusively.", ' ',
        CROCUS_VERSION);
    TCLAP::ValueArg<std::string> path("", "settings",
        std::string("Path of the settings file; if absent, the environment variable ")
            + Platform::settingsPathVariable + " is used",
        false, "", "path", command);
    TCLAP::ValueArg<std::uint16_t> portOffset("", "upstream-port-offset",
        "Added to the ports of upstreams, for tests with a proxy in front of them", false, 0, "number",
        command);
    std::vector<std::string> modes;
    modes.reserve(Routing::workQueueModeNames.size());
    for (const Utils::EnumName<Routing::WorkQueueMode>& mode : Routing::workQueueModeNames)
        modes.emplace_back(mode.name);
    TCLAP::ValuesConstraint<std::string> allowedModes(modes);
    TCLAP::ValueArg<std::string> workQueue("", "work-queue",
        "Whether requests wait until upstreams have room; auto: where many VMs share few slots", false,
        "auto", &allowedModes, command);
    command.parse(argc, argv);
    const char* const environmentPath = std::getenv(Platform::settingsPathVariable);
    Options options;
    options.settingsPath = path.isSet() ? path.getValue() : environmentPath ? environmentPath : "";
    options.upstreamPortOffset = portOffset.getValue();
    options.workQueueMode = Utils::enumFromName(Routing::workQueueModeNames, workQueue.getValue())
                                .value_or(Routing::WorkQueueMode::Auto);
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    const Options options = parseOptions(argc, argv);
    Logging::configure(Logging::Level::Info, "crocusferryedge");
    std::optional<Routing::VmSettings> settings = readSettings(options.settingsPath);
    if (!settings)
        return exitBadSettings;
    settings->upstreamPortOffset = options.upstreamPortOffset;
    settings->workQueueMode = options.workQueueMode;
    Logging::configure(Logging::Level::Info, settings->name.value);
    return runService(options.settingsPath, *settings);
}
