#pragma once

#include <utils/ids.h>
#include <utils/time.h>

#include <cstddef>
#include <cstdint>
#include <string>

/// Names and points in time that all states share.
namespace Explorer {

/// Length of a tick.
inline constexpr Utils::Duration tickLength = std::chrono::milliseconds(1);
/// The constant reading of every VM's clock.
inline constexpr Utils::Instant vmNow = Utils::Instant(1000 * tickLength);
/// The constant reading of every upstream's clock, in microseconds.
inline constexpr std::int64_t holderNow = vmNow.time_since_epoch().count();

inline Utils::VmId vmName(std::size_t index) { return { "vm" + std::to_string(index) }; }

inline Utils::UpstreamId upstreamName(std::size_t index)
{
    return { std::string(1, static_cast<char>('A' + index)) };
}

inline std::size_t upstreamIndex(const Utils::UpstreamId& upstream)
{
    return static_cast<std::size_t>(upstream.value.front() - 'A');
}

inline std::size_t vmIndex(const Utils::VmId& vm) { return static_cast<std::size_t>(vm.value.back() - '0'); }

inline Utils::ShardId onlyShard() { return { "s" }; }

} // namespace Explorer
