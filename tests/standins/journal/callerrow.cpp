#include <standins/journal/callerrow.h>

#include <standins/journal/jsonfields.h>

namespace Journal {

namespace Internal {

void addOutcome(boost::json::object& object, const CallerRow& row)
{
    object["outcome"] = Utils::enumName(Requests::outcomeNames, row.outcome);
    if (!row.reason.empty())
        object["reason"] = row.reason;
    object["status"] = row.status;
    object["answer"] = Utils::enumName(answerStateNames, row.answer);
    object["latency_us"] = row.latency;
}

} // namespace Internal

boost::json::object toJson(const CallerRow& row)
{
    boost::json::object object;
    object["at_us"] = row.at;
    object["event"] = Utils::enumName(callerEventNames, row.event);
    object["request"] = row.request;
    object["attempt"] = row.attempt;
    object["entry"] = row.entry;
    object["method"] = row.method;
    object["path"] = row.path;
    object["rank"] = row.rank;
    object["caller"] = row.caller;
    if (!row.idempotencyKey.empty())
        object["idempotency_key"] = row.idempotencyKey;
    object["late_us"] = row.late;
    if (row.event != CallerEvent::Offered)
        Internal::addOutcome(object, row);
    return object;
}

std::optional<CallerRow> callerRowFrom(const boost::json::object& object)
{
    const std::optional<CallerEvent> event
        = Utils::enumFromName(callerEventNames, stringField(object, "event"));
    if (!event)
        return std::nullopt;
    CallerRow row;
    row.at = numberField<std::int64_t>(object, "at_us");
    row.event = *event;
    row.request = stringField(object, "request");
    row.attempt = numberField<unsigned>(object, "attempt");
    row.entry = stringField(object, "entry");
    row.method = stringField(object, "method");
    row.path = stringField(object, "path");
    row.rank = stringField(object, "rank");
    row.caller = stringField(object, "caller");
    row.idempotencyKey = stringField(object, "idempotency_key");
    row.outcome = Utils::enumFromName(Requests::outcomeNames, stringField(object, "outcome"))
                      .value_or(Requests::Outcome::Unknown);
    row.reason = stringField(object, "reason");
    row.status = numberField<unsigned>(object, "status");
    row.answer
        = Utils::enumFromName(answerStateNames, stringField(object, "answer")).value_or(AnswerState::None);
    row.latency = numberField<std::int64_t>(object, "latency_us");
    row.late = numberField<std::int64_t>(object, "late_us");
    return row;
}

} // namespace Journal
