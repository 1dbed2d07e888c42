#pragma once

#include <agreement/judgedrecord.h>
#include <agreement/logreader.h>
#include <agreement/logrecord.h>
#include <commands/commandsconstants.h>
#include <logservice/logendpoint.h>
#include <logservice/platformerror.h>
#include <utils/time.h>

#include <boost/leaf/result.hpp>

#include <vector>

namespace Commands::Internal {

/// The log as one command follows it.
struct LogView {
    LogService::LogEndpoint endpoint;
    Agreement::LogReader reader {};
    /// Offset after the newest record that the log has shown.
    Utils::Offset end = 0;
    /// Records asked for in one read.
    std::size_t limit = recordsPerRead;
};

/// What one read brought: the records, and the verdicts on those that could be judged.
struct LogStep {
    std::vector<Agreement::LogRecord> records;
    std::vector<Agreement::JudgedRecord> judged;
};

/// Reads once, waiting up to \a wait for new records, and folds what came. Errors: PlatformError.
boost::leaf::result<LogStep> readOn(LogView& view, Utils::Duration wait);

/// Reads until nothing is left, trying again after errors until \a deadline. Errors: PlatformError, the last
/// one.
boost::leaf::result<void> readToEnd(LogView& view, Utils::Instant deadline);

/// Reads on until the record at \a offset is judged, or \a deadline; reads of the log may lag.
void awaitOffset(LogView& view, Utils::Offset offset, Utils::Instant deadline);

} // namespace Commands::Internal
