#include <edge/ownanswer.h>
#include <platform/headers.h>

#include <cstdio>

namespace Edge {

namespace http = boost::beast::http;

namespace Internal {

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusBodyTooLarge = 413;
constexpr unsigned statusHeaderTooLarge = 431;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;
constexpr int answerHttpVersion = 11;

std::string secondsText(Utils::Duration duration)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(duration).count());
    return text.data();
}

} // namespace Internal

unsigned statusOf(const OwnAnswer& answer)
{
    switch (answer.reason) {
    case OwnReason::NoRoute:
        return Internal::statusNotFound;
    case OwnReason::BadRequest:
        return Internal::statusBadRequest;
    case OwnReason::HeaderTooLarge:
        return Internal::statusHeaderTooLarge;
    case OwnReason::BodyTooLarge:
        return Internal::statusBodyTooLarge;
    case OwnReason::TimeUp:
        return answer.mayHaveRun ? Internal::statusGatewayTimeout : Internal::statusUnavailable;
    default:
        return answer.mayHaveRun ? Internal::statusBadGateway : Internal::statusUnavailable;
    }
}

HttpResponse makeOwnAnswer(const OwnAnswer& answer, const Utils::RequestId& request)
{
    HttpResponse response(http::int_to_status(statusOf(answer)), Internal::answerHttpVersion);
    Platform::setRequestId(response, request);
    if (answer.retryAfter > Utils::Duration::zero())
        response.set(http::field::retry_after, Internal::secondsText(answer.retryAfter));
    response.set(http::field::content_type, "text/plain");
    response.body() = std::string(Utils::enumName(ownReasonNames, answer.reason)) + "\n";
    response.prepare_payload();
    return response;
}

} // namespace Edge
