#pragma once

#include <standins/journal/journalerror.h>
#include <standins/journal/journalplace.h>
#include <standins/journal/journalset.h>

#include <boost/leaf/result.hpp>

#include <string>

namespace Journal {

/// Adds the rows of a caller's journal file. Errors: JournalError with a JournalPlace.
boost::leaf::result<void> readCallerJournal(JournalSet& set, const std::string& path);

/// Adds the rows of an upstream's journal file. Errors: JournalError with a JournalPlace.
boost::leaf::result<void> readUpstreamJournal(JournalSet& set, const std::string& path);

} // namespace Journal
