#pragma once

namespace Commands {

/// How results are written.
enum class OutputFormat {
    /// Lines for a reader.
    Text,
    /// One JSON document for a program.
    Json,
};

} // namespace Commands
