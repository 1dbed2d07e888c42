#include <commands/commandtable.h>

#include <iostream>

int main(int argc, char* argv[])
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(Commands::runCommand(arguments, { std::cout, std::cerr }));
}
