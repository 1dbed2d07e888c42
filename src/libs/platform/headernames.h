#pragma once

#include <string_view>

/// Names of the platform's HTTP headers. Other libraries access them through CallerHeaders and ServerHeaders.
namespace Platform::Internal {

inline constexpr std::string_view requestIdHeader = "X-Request-Id";
inline constexpr std::string_view deadlineHeader = "X-Deadline-Ms";
inline constexpr std::string_view stampHeader = "X-Server-Stamp";
inline constexpr std::string_view expectedServerHeader = "X-Expect-Instance";
inline constexpr std::string_view loadHeader = "X-Server-Load";
inline constexpr std::string_view notRunHeader = "X-Not-Executed";
inline constexpr std::string_view serverIdHeader = "X-Instance-Id";
inline constexpr std::string_view keyHeader = "X-Shard-Key";
inline constexpr std::string_view handoverHeader = "X-Handover";
inline constexpr std::string_view storeEraHeader = "Store-Era";
inline constexpr std::string_view requestLimitHeader = "Server-Limit";
inline constexpr std::string_view coldTimeHeader = "X-Cold-Ms";
inline constexpr std::string_view leavingHeader = "Server-Leaving";
inline constexpr std::string_view retryAfterHeader = "Retry-After";
inline constexpr std::string_view keepAliveHeader = "Keep-Alive";

} // namespace Platform::Internal
