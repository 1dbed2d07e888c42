#include <standins/caller/tracereader.h>

#include <standins/journal/jsonfields.h>

#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>

#include <string>

namespace StandInCaller {

namespace Leaf = boost::leaf;

namespace Internal {

constexpr double microsecondsPerMillisecond = 1000;

Leaf::result<PlannedRequest> requestFrom(
    const boost::json::object& object, std::chrono::milliseconds timeout, TraceLine line)
{
    const double dueMilliseconds = Journal::numberField<double>(object, "at_ms", -1);
    PlannedRequest request;
    request.method = Journal::stringField(object, "method");
    request.target = Journal::stringField(object, "path");
    if (dueMilliseconds < 0 || request.method.empty() || request.target.empty())
        return Leaf::new_error(TraceError::MissingField, line);
    request.due = Utils::Duration(static_cast<std::int64_t>(dueMilliseconds * microsecondsPerMillisecond));
    request.rank = Journal::stringField(object, "rank");
    request.caller = Journal::stringField(object, "caller");
    request.bytes = Journal::numberField<std::uint64_t>(object, "size");
    request.timeout = std::chrono::milliseconds(
        Journal::numberField<std::int64_t>(object, "timeout_ms", timeout.count()));
    return request;
}

} // namespace Internal

Leaf::result<std::vector<PlannedRequest>> readTrace(std::istream& trace, std::chrono::milliseconds timeout)
{
    if (!trace)
        return Leaf::new_error(TraceError::Unreadable, TraceLine());
    std::vector<PlannedRequest> requests;
    TraceLine line;
    std::string text;
    while (std::getline(trace, text)) {
        ++line.number;
        if (text.empty())
            continue;
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(text, error);
        if (error || !value.is_object())
            return Leaf::new_error(TraceError::NotAnObject, line);
        if (value.get_object().contains("event"))
            continue;
        Leaf::result<PlannedRequest> request = Internal::requestFrom(value.get_object(), timeout, line);
        if (!request)
            return request.error();
        if (!requests.empty() && request->due < requests.back().due)
            return Leaf::new_error(TraceError::OutOfOrder, line);
        requests.push_back(std::move(*request));
    }
    return requests;
}

} // namespace StandInCaller
