#pragma once

#include <commands/exitcode.h>
#include <standins/log/logservice.h>
#include <standins/support/backgroundserver.h>

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace CommandFixture {

/// The folder of the demonstration set.
std::string demoFolder();

/// A copy of the demonstration set in which one text is replaced; gone with the object.
struct ChangedSet {
    ChangedSet(
        const std::string& name, const std::string& file, const std::string& from, const std::string& to);
    ChangedSet(const ChangedSet&) = delete;
    ChangedSet& operator=(const ChangedSet&) = delete;
    ~ChangedSet();

    std::filesystem::path folder;
};

/// What a command ended with and wrote.
struct RunResult {
    Commands::ExitCode code;
    std::string out;
    std::string error;
};

RunResult run(const std::vector<std::string>& arguments);

/// A log service with an empty stream, for commands to use.
struct LogFixture {
    explicit LogFixture(const StandInLog::LogFaults& faults = {});

    /// \a arguments with the options that name this log, and a short time limit.
    std::vector<std::string> withLog(std::vector<std::string> arguments) const;

    /// Records in the stream, once the server has stopped.
    std::size_t stopAndCount();

    boost::asio::io_context context { 1 };
    StandInLog::LogService service { context };
    std::optional<StandInSupport::BackgroundServer> server;
};

} // namespace CommandFixture
