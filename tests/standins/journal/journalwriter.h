#pragma once

#include <boost/json/object.hpp>

#include <fstream>
#include <string>

namespace Journal {

/// An open journal: JSON lines, each in the file before the next step is taken.
struct JournalWriter {
    std::ofstream stream;
};

/// Opens \a path for appending; an empty path gives a journal that keeps nothing.
JournalWriter openJournal(const std::string& path);

/// Adds one line and flushes it.
void append(JournalWriter& journal, const boost::json::object& row);

} // namespace Journal
