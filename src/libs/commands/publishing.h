#pragma once

#include <agreement/configurationrecord.h>
#include <commands/logview.h>
#include <commands/publishoutcome.h>
#include <utils/ids.h>
#include <utils/time.h>

namespace Commands::Internal {

/// What became of a published record, and where it stands in the log.
struct PublishResult {
    PublishOutcome outcome = PublishOutcome::Unknown;
    /// Offset of the record; 0 when it was not seen.
    Utils::Offset offset = 0;
};

/// Appends \a record and follows the log until it has read the record back and judged it. An append whose
/// answer is lost is repeated unchanged: the fold counts the first one only.
PublishResult publishRecord(
    LogView& view, const Agreement::ConfigurationRecord& record, Utils::Instant deadline);

} // namespace Commands::Internal
