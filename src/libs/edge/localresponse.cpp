#include <edge/localresponse.h>
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
constexpr int responseHttpVersion = 11;

std::string formatSeconds(Utils::Duration duration)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(duration).count());
    return text.data();
}

} // namespace Internal

unsigned statusFor(const LocalResponse& localResponse)
{
    switch (localResponse.reason) {
    case LocalResponseReason::NoRoute:
        return Internal::statusNotFound;
    case LocalResponseReason::BadRequest:
        return Internal::statusBadRequest;
    case LocalResponseReason::HeaderTooLarge:
        return Internal::statusHeaderTooLarge;
    case LocalResponseReason::BodyTooLarge:
        return Internal::statusBodyTooLarge;
    case LocalResponseReason::DeadlineExceeded:
        return localResponse.mayHaveRun ? Internal::statusGatewayTimeout : Internal::statusUnavailable;
    default:
        return localResponse.mayHaveRun ? Internal::statusBadGateway : Internal::statusUnavailable;
    }
}

HttpResponse makeLocalResponse(const LocalResponse& localResponse, const Utils::RequestId& requestId)
{
    HttpResponse response(http::int_to_status(statusFor(localResponse)), Internal::responseHttpVersion);
    Platform::setRequestId(response, requestId);
    if (localResponse.retryAfter > Utils::Duration::zero())
        response.set(http::field::retry_after, Internal::formatSeconds(localResponse.retryAfter));
    response.set(http::field::content_type, "text/plain");
    response.body() = std::string(Utils::enumName(localResponseReasonNames, localResponse.reason)) + "\n";
    response.prepare_payload();
    return response;
}

} // namespace Edge
