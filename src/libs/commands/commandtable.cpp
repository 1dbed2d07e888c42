#include <commands/commandtable.h>

#include <commands/checkcommand.h>
#include <commands/diffcommand.h>
#include <commands/publishcommand.h>
#include <commands/showcommand.h>
#include <commands/statuscommand.h>
#include <commands/watchcommand.h>

#include <iomanip>

namespace Commands {

namespace {

constexpr int nameColumn = 10;

void writeHelp(std::ostream& stream)
{
    stream << "usage: crocusferry COMMAND [ARGUMENT...]\n\ncommands:\n";
    for (const CommandRow& row : commandTable())
        stream << "  " << std::left << std::setw(nameColumn) << row.name << row.summary << '\n';
    stream << "\ncrocusferry COMMAND --help explains a command.\n\nexit codes:\n";
    for (const Utils::EnumName<ExitCode>& row : exitCodeNames)
        stream << "  " << std::left << std::setw(nameColumn) << static_cast<int>(row.value) << row.name
               << '\n';
}

} // namespace

const std::vector<CommandRow>& commandTable()
{
    static const std::vector<CommandRow> table {
        { "check", "check a set of declarations and list every fault", runCheck },
        { "diff", "list what changes from one set to another", runDiff },
        { "publish", "put a set in force in place of the one it was made from", runPublish },
        { "show", "show the configuration in force and the assignments", runShow },
        { "status", "show where each VM stands against the log", runStatus },
        { "watch", "write what is agreed as it comes", runWatch },
    };
    return table;
}

ExitCode runCommand(const std::vector<std::string>& arguments, Console console)
{
    if (arguments.empty()) {
        writeHelp(console.error);
        return ExitCode::Usage;
    }
    if (arguments.front() == "--help" || arguments.front() == "-h" || arguments.front() == "help") {
        writeHelp(console.out);
        return ExitCode::Ok;
    }
    for (const CommandRow& row : commandTable()) {
        if (row.name != arguments.front())
            continue;
        std::vector<std::string> words = arguments;
        words.front() = "crocusferry " + words.front();
        return row.run(words, console);
    }
    console.error << "crocusferry: no command \"" << arguments.front() << "\"\n";
    writeHelp(console.error);
    return ExitCode::Usage;
}

} // namespace Commands
