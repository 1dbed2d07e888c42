#include "commandfixture.h"

#include <commands/commandtable.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <sstream>

#include <unistd.h>

namespace CommandFixture {

std::string demoFolder() { return SHARE_FOLDER "/demo"; }

ChangedSet::ChangedSet(
    const std::string& name, const std::string& file, const std::string& from, const std::string& to)
    : folder(
        std::filesystem::temp_directory_path() / ("crocusferry-" + name + '-' + std::to_string(getpid())))
{
    std::filesystem::remove_all(this->folder);
    std::filesystem::copy(demoFolder(), this->folder);
    const std::filesystem::path path = this->folder / file;
    std::ifstream input(path);
    std::string text((std::istreambuf_iterator<char>(input)), std::istreambuf_iterator<char>());
    const std::string::size_type at = text.find(from);
    REQUIRE(at != std::string::npos);
    text.replace(at, from.size(), to);
    std::ofstream(path) << text;
}

ChangedSet::~ChangedSet()
{
    std::error_code error;
    std::filesystem::remove_all(this->folder, error);
}

RunResult run(const std::vector<std::string>& arguments)
{
    std::ostringstream out;
    std::ostringstream error;
    const Commands::ExitCode code = Commands::runCommand(arguments, { out, error });
    return { code, out.str(), error.str() };
}

LogFixture::LogFixture(const StandInLog::LogFaults& faults)
{
    this->service.faults = faults;
    this->server.emplace(this->context, StandInLog::handlerOf(this->service));
}

std::vector<std::string> LogFixture::withLog(std::vector<std::string> arguments) const
{
    arguments.push_back("--log");
    arguments.push_back("127.0.0.1:" + std::to_string(this->server->port()));
    arguments.push_back("--timeout-ms");
    arguments.push_back("1500");
    return arguments;
}

std::size_t LogFixture::stopAndCount()
{
    this->server.reset();
    return this->service.streams["crocusferry"].records.size();
}

} // namespace CommandFixture
