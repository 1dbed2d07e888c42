#pragma once

#include <utils/enumtable.h>

#include <array>

namespace LogService {

/// Why a call to the platform failed. Each has a counter.
enum class PlatformError {
    /// The endpoint is no IP number or the stream's name is not allowed.
    BadEndpoint,
    /// No connection, or it broke before anything was sent: the call had no effect.
    Unreachable,
    /// No connection in time, or no answer to a read in time: the call had no effect.
    Timeout,
    /// An append was sent and its answer did not come or made no sense: it may have taken effect.
    AnswerLost,
    /// The records asked for are no longer kept; comes with KeptRange.
    Expired,
    /// The service says that it can't serve now: the call had no effect.
    Unavailable,
    /// The record is larger than the service takes: the call had no effect.
    RecordTooLarge,
    /// The answer is larger than its bound; a read may ask for fewer records.
    AnswerTooLarge,
    /// The answer breaks the contract.
    Malformed,
    /// The answer has a status that the contract does not name; comes with HttpStatus.
    UnexpectedStatus,
};

inline constexpr std::array<Utils::EnumName<PlatformError>, 10> platformErrorNames { {
    { PlatformError::BadEndpoint, "bad_endpoint" },
    { PlatformError::Unreachable, "unreachable" },
    { PlatformError::Timeout, "timeout" },
    { PlatformError::AnswerLost, "answer_lost" },
    { PlatformError::Expired, "expired" },
    { PlatformError::Unavailable, "unavailable" },
    { PlatformError::RecordTooLarge, "record_too_large" },
    { PlatformError::AnswerTooLarge, "answer_too_large" },
    { PlatformError::Malformed, "malformed" },
    { PlatformError::UnexpectedStatus, "unexpected_status" },
} };

} // namespace LogService
