#include <edge/responseframing.h>

namespace Edge {

namespace http = boost::beast::http;

std::optional<ResponseFault> findResponseFault(const ResponseHeader& header)
{
    if (http::to_status_class(header.result_int()) == http::status_class::unknown)
        return ResponseFault::StatusOutOfRange;
    if (header.result() == http::status::switching_protocols)
        return ResponseFault::ProtocolSwitch;
    return std::nullopt;
}

bool isInterim(const ResponseHeader& header)
{
    return http::to_status_class(header.result_int()) == http::status_class::informational;
}

} // namespace Edge
