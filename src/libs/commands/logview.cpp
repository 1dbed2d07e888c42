#include <commands/logview.h>

#include <agreement/follow.h>
#include <declarations/configurationreader.h>
#include <logservice/logclient.h>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <thread>

namespace leaf = boost::leaf;

namespace Commands::Internal {

namespace {

using LogService::KeptRange;
using LogService::PlatformError;

std::optional<Declarations::Configuration> parseText(std::string_view text)
{
    return Declarations::readConfiguration({ { "log", std::string(text) } }).configuration;
}

leaf::result<LogStep> readAndFold(LogView& view, Utils::Duration wait)
{
    BOOST_LEAF_AUTO(answer,
        LogService::readRecords(view.endpoint, view.reader.next, view.limit, wait, wait + callTimeout));
    view.end = std::max(view.end, answer.kept.end);
    LogStep step;
    step.judged = Agreement::foldRecords(view.reader, answer.kept.first, answer.records, parseText);
    step.records = answer.records;
    return step;
}

/// Goes on where the log still has records, or with smaller reads; other errors stay the error \a id. A new
/// error of the same type would be lost: LEAF carries the handled one over it.
leaf::result<LogStep> recover(LogView& view, PlatformError error, const KeptRange* kept, leaf::error_id id)
{
    if (error == PlatformError::Expired && kept) {
        Agreement::noteFirst(view.reader, kept->first);
        view.end = std::max(view.end, kept->end);
        return LogStep {};
    }
    if (error == PlatformError::AnswerTooLarge && view.limit > 1) {
        view.limit = std::max<std::size_t>(1, view.limit / 4);
        return LogStep {};
    }
    return id;
}

bool isBehind(const LogView& view) { return view.reader.next < view.end; }

} // namespace

leaf::result<LogStep> readOn(LogView& view, Utils::Duration wait)
{
    return leaf::try_handle_some([&]() { return readAndFold(view, wait); },
        [&](const leaf::error_info& info, PlatformError error, const KeptRange& kept) {
            return recover(view, error, &kept, info.error());
        },
        [&](const leaf::error_info& info, PlatformError error) {
            return recover(view, error, nullptr, info.error());
        });
}

leaf::result<void> readToEnd(LogView& view, Utils::Instant deadline)
{
    bool isRead = false;
    while (!isRead || isBehind(view)) {
        leaf::result<LogStep> step = readOn(view, Utils::Duration(0));
        const bool isLate = Utils::monotonicNow() >= deadline;
        if (!step && isLate)
            return step.error();
        if (!step)
            std::this_thread::sleep_for(retryPause);
        isRead = isRead || step.has_value();
        if (isLate && isBehind(view))
            return leaf::new_error(PlatformError::Timeout);
    }
    return {};
}

void awaitOffset(LogView& view, Utils::Offset offset, Utils::Instant deadline)
{
    while (view.reader.state.agreed.applied < offset && Utils::monotonicNow() < deadline) {
        const bool isRead = leaf::try_handle_all(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(readOn(view, readWait));
                return true;
            },
            [] { return false; });
        if (!isRead)
            std::this_thread::sleep_for(retryPause);
    }
}

} // namespace Commands::Internal
