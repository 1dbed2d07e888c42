#include <gateway/finalanswer.h>

#include <boost/json.hpp>

namespace Gateway {

namespace Internal {

constexpr unsigned badRequest = 400;
constexpr unsigned notFound = 404;
constexpr unsigned payloadTooLarge = 413;
constexpr unsigned tooManyRequests = 429;
constexpr unsigned badGateway = 502;
constexpr unsigned serviceUnavailable = 503;
constexpr unsigned gatewayTimeout = 504;

} // namespace Internal

unsigned statusOf(const FinalAnswer& answer)
{
    if (answer.outcome == Requests::Outcome::Unknown) {
        const bool timeout = answer.reason == Requests::Reason::UpstreamTimeout;
        return timeout ? Internal::gatewayTimeout : Internal::badGateway;
    }
    switch (answer.reason) {
    case Requests::Reason::BadRequest:
    case Requests::Reason::RankNotAllowed:
    case Requests::Reason::MissingIdempotencyKey:
        return Internal::badRequest;
    case Requests::Reason::UnknownService:
        return Internal::notFound;
    case Requests::Reason::BodyTooLarge:
        return Internal::payloadTooLarge;
    case Requests::Reason::CallerOverShare:
        return Internal::tooManyRequests;
    default:
        return Internal::serviceUnavailable;
    }
}

std::string bodyOf(const FinalAnswer& answer)
{
    boost::json::object body;
    body["outcome"] = Utils::enumName(Requests::outcomeNames, answer.outcome);
    body["reason"] = Utils::enumName(Requests::reasonNames, answer.reason);
    body["retry_after_ms"] = Utils::toMilliseconds(answer.retryAfter);
    return boost::json::serialize(body);
}

} // namespace Gateway
