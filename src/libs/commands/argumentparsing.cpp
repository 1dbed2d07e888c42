#include <commands/argumentparsing.h>

#include <algorithm>
#include <list>

namespace Commands::Internal {

namespace {

/// Whether \a word is one of the options of \a line, with or without a value.
bool isOption(TCLAP::CmdLine& line, const std::string& word)
{
    const std::string name = word.substr(0, word.find('='));
    const std::list<TCLAP::Arg*>& options = line.getArgList();
    return std::any_of(options.begin(), options.end(), [&name](const TCLAP::Arg* option) {
        const bool byName = !option->getName().empty() && name == "--" + option->getName();
        return byName || (!option->getFlag().empty() && name == "-" + option->getFlag());
    });
}

/// The first word that looks like an option and is none; TCLAP would take it for a path.
std::optional<std::string> findUnknownOption(TCLAP::CmdLine& line, const std::vector<std::string>& arguments)
{
    for (const std::string& word : arguments) {
        if (word == "--")
            return std::nullopt;
        if (word.starts_with('-') && !isOption(line, word))
            return word;
    }
    return std::nullopt;
}

ExitCode reportUsage(Console& console, const std::string& name, const std::string& complaint)
{
    console.error << name << ": " << complaint << "; see " << name << " --help\n";
    return ExitCode::Usage;
}

} // namespace

std::optional<ExitCode> parseArguments(
    TCLAP::CmdLine& line, const std::vector<std::string>& arguments, Console& console)
{
    const std::optional<std::string> unknown = findUnknownOption(line, arguments);
    if (unknown.has_value())
        return reportUsage(console, arguments.front(), "no option " + *unknown);
    line.setExceptionHandling(false);
    try {
        std::vector<std::string> words = arguments;
        line.parse(words);
    } catch (const TCLAP::ArgException& exception) {
        return reportUsage(console, arguments.front(), exception.error() + ' ' + exception.argId());
    } catch (const TCLAP::ExitException&) {
        return ExitCode::Ok;
    }
    return std::nullopt;
}

} // namespace Commands::Internal
