#pragma once

#include <utils/enumtable.h>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <array>
#include <optional>

/// Checks that the bytes of a request mean the same to this VM and to the upstream that it is forwarded to.
namespace Edge {

/// Why a request is rejected though its header could be parsed.
enum class FramingFault {
    /// RFC 9112, 6.1 and 6.3: the transfer coding is not exactly "chunked".
    UnknownTransferCoding,
    /// RFC 9112, 6.1: a transfer coding in a version that has none.
    TransferCodingTooOld,
    /// RFC 9112, 6.3: both a length and a transfer coding.
    LengthAndTransferCoding,
    /// RFC 9112, 6.3: several lengths.
    SeveralLengths,
    /// RFC 9112, 3.2: no Host field in HTTP/1.1, or several.
    HostCount,
    /// RFC 9110, 9.3.8: a TRACE request with content.
    TraceWithContent,
    /// RFC 9112, 3.2: a target that is neither a path nor an absolute URI of the scheme http, nor "*".
    UnknownTargetForm,
};

inline constexpr std::array<Utils::EnumName<FramingFault>, 7> framingFaultNames { {
    { FramingFault::UnknownTransferCoding, "unknown_transfer_coding" },
    { FramingFault::TransferCodingTooOld, "transfer_coding_too_old" },
    { FramingFault::LengthAndTransferCoding, "length_and_transfer_coding" },
    { FramingFault::SeveralLengths, "several_lengths" },
    { FramingFault::HostCount, "host_count" },
    { FramingFault::TraceWithContent, "trace_with_content" },
    { FramingFault::UnknownTargetForm, "unknown_target_form" },
} };

using RequestHeader = boost::beast::http::header<true, boost::beast::http::fields>;

/// Returns what is wrong with the framing of a request with \a header.
std::optional<FramingFault> findFramingFault(const RequestHeader& header);

/// Replaces an absolute target by its path, and the Host field by its authority (RFC 9112, 3.2.2).
void normalizeTarget(RequestHeader& header);

/// Removes the empty lines in front of a request line from \a text (RFC 9112, 2.2). Returns their length.
std::size_t countLeadingEmptyLines(std::string_view text);

} // namespace Edge
