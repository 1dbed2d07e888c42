#include <gateway/daemon.h>
#include <gateway/daemonsettings.h>
#include <logging/log.h>
#include <settings/settingsreader.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf.hpp>
#include <boost/system/system_error.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

namespace {

namespace leaf = boost::leaf;

constexpr int exitBadSettings = 2;
constexpr int exitCannotListen = 3;
constexpr int exitNotDrained = 4;

/// A number that no other start of this VM has, short of chance.
Utils::Incarnation freshIncarnation()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> range(1, INT64_MAX);
    return range(device);
}

void awaitStopSignal()
{
    boost::asio::io_context context;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([](const boost::system::error_code&, int) {});
    context.run();
}

int runDaemon(const Gateway::DaemonSettings& settings)
{
    Logging::configure(settings.logLevel, settings.name.value);
    Gateway::Daemon daemon(settings, freshIncarnation());
    try {
        daemon.start();
    } catch (const boost::system::system_error& error) {
        Logging::write(Logging::Level::Error, "cannot_listen", { { "error", error.code().message() } });
        return exitCannotListen;
    }
    awaitStopSignal();
    return daemon.shutDown() ? EXIT_SUCCESS : exitNotDrained;
}

int reportFault(const Settings::SettingFault& fault)
{
    std::cerr << "crocusferryd: setting " << fault.name << ": "
              << Utils::enumName(Settings::settingErrorNames, fault.error) << ": \"" << fault.value
              << "\"; allowed: " << fault.allowed << "\n";
    return exitBadSettings;
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv, argv + argc);
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(values,
                Settings::readSettings("Routes requests to upstream servers that own keys exclusively.",
                    CROCUS_VERSION, Gateway::daemonSettingSpecs(), arguments, Settings::environmentVariable));
            BOOST_LEAF_AUTO(settings, Gateway::checkDaemonSettings(values));
            return runDaemon(settings);
        },
        [](const Settings::SettingFault& fault) { return reportFault(fault); },
        []() { return exitBadSettings; });
}
