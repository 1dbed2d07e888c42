#pragma once

#include <utils/enumtable.h>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <array>
#include <optional>

/// Checks that a response that could be parsed is one that HTTP knows. The parser accepts any three digits as
/// a status.
namespace Edge {

/// Why a response is not used though its header could be parsed.
enum class ResponseFault {
    /// RFC 9110, 15: a status outside of 100 to 599.
    StatusOutOfRange,
    /// RFC 9110, 7.8: a switch to another protocol, which no request of this VM asks for.
    ProtocolSwitch,
    /// More interim responses than any request has a use for.
    ManyInterimResponses,
};

inline constexpr std::array<Utils::EnumName<ResponseFault>, 3> responseFaultNames { {
    { ResponseFault::StatusOutOfRange, "status_out_of_range" },
    { ResponseFault::ProtocolSwitch, "protocol_switch" },
    { ResponseFault::ManyInterimResponses, "many_interim_responses" },
} };

/// Number of interim responses, or of responses to other requests, after which a connection is closed.
inline constexpr unsigned maxSkippedResponses = 16;

using ResponseHeader = boost::beast::http::header<false, boost::beast::http::fields>;

/// Returns what is wrong with a response that has \a header.
std::optional<ResponseFault> findResponseFault(const ResponseHeader& header);

/// Whether the final response follows one that has \a header.
bool isInterim(const ResponseHeader& header);

} // namespace Edge
