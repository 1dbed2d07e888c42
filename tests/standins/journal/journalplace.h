#pragma once

#include <cstddef>
#include <string>

namespace Journal {

/// The file and line, from 1, that a JournalError is about.
struct JournalPlace {
    std::string path;
    std::size_t line = 0;
};

} // namespace Journal
