#pragma once

namespace LogService::Internal {

inline constexpr unsigned statusOk = 200;
inline constexpr unsigned statusGone = 410;
inline constexpr unsigned statusTooLarge = 413;
inline constexpr unsigned statusUnavailable = 503;

} // namespace LogService::Internal
