#pragma once

#include <agreement/configurationparser.h>
#include <agreement/logstate.h>
#include <agreement/recordvariant.h>
#include <agreement/verdict.h>

#include <string_view>

/// The deterministic judgement of the log: every VM that folds the same records reaches the same state and
/// the same verdicts.
namespace Agreement {

/// Judges the record at \a offset. Any verdict but NotNewer and Gap moves \c applied on to \a offset; only
/// Accepted changes what is agreed.
Verdict applyRecord(LogState& state, Utils::Offset offset, const RecordVariant& record,
    const ConfigurationParser& parseConfiguration);

/// Decodes and judges \a text; a text that is no record is passed over.
Verdict applyText(LogState& state, Utils::Offset offset, std::string_view text,
    const ConfigurationParser& parseConfiguration);

} // namespace Agreement
