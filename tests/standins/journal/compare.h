#pragma once

#include <standins/journal/comparison.h>
#include <standins/journal/journalset.h>

namespace Journal {

/// Holds the journals of callers and upstreams against each other.
Comparison compare(const JournalSet& set);

/// Whether no promise was broken.
bool isClean(const Comparison& comparison);

} // namespace Journal
