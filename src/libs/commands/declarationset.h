#pragma once

#include <commands/console.h>
#include <commands/exitcode.h>
#include <commands/outputformat.h>
#include <declarations/configuration.h>
#include <declarations/origin.h>

#include <optional>
#include <string>
#include <vector>

namespace Commands::Internal {

/// A set of files that was read and checked.
struct DeclarationSet {
    /// Present exactly when the set has no faults.
    std::optional<Declarations::Configuration> configuration;
    Declarations::Origins origins;
    std::size_t files = 0;
    /// What to end with when there is no configuration; its reason has been written.
    ExitCode failure = ExitCode::Ok;
};

/// Reads the files and folders in \a paths as one set, and writes what is wrong with it.
DeclarationSet readDeclarationSet(
    Console& console, OutputFormat format, const std::vector<std::string>& paths);

} // namespace Commands::Internal
