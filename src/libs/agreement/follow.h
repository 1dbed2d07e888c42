#pragma once

#include <agreement/configurationparser.h>
#include <agreement/judgedrecord.h>
#include <agreement/logreader.h>
#include <agreement/logrecord.h>

#include <vector>

namespace Agreement {

/// Takes note that the log keeps nothing below \a first: a reader that still needs an older record waits for
/// a checkpoint, its state unchanged, and reads on from \a first.
void noteFirst(LogReader& reader, Utils::Offset first);

/// Folds one answer of the log, \a first being the oldest offset that the log keeps. Gives a verdict for each
/// record judged, up to the first gap. Records may overlap with earlier ones and may come again; those have
/// no effect.
std::vector<JudgedRecord> foldRecords(LogReader& reader, Utils::Offset first,
    const std::vector<LogRecord>& records, const ConfigurationParser& parseConfiguration);

} // namespace Agreement
