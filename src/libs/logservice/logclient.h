#pragma once

#include <logservice/appendanswer.h>
#include <logservice/httpstatus.h>
#include <logservice/keptrange.h>
#include <logservice/logendpoint.h>
#include <logservice/platformerror.h>
#include <logservice/readanswer.h>
#include <utils/time.h>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <string>

/// The log service. Calls block the calling thread for at most their timeout, each on a connection of its
/// own, so that one gone silent can't hold up the next. Failures are a PlatformError.
namespace LogService {

/// Appends \a text. After AnswerLost it may have taken effect: send it again unchanged, the fold ignores a
/// repeat.
boost::leaf::result<AppendAnswer> appendRecord(
    const LogEndpoint& endpoint, const std::string& text, Utils::Duration timeout);

/// Reads up to \a limit records from offset \a from on, waiting up to \a wait for the first.
/// \param timeout for the whole call; should exceed \a wait.
boost::leaf::result<ReadAnswer> readRecords(const LogEndpoint& endpoint, Utils::Offset from,
    std::size_t limit, Utils::Duration wait, Utils::Duration timeout);

} // namespace LogService
