#pragma once

#include <string_view>

/// Topics that the VMs keep in the store.
namespace Edge {

/// Who leads; without keys, since only the newest record counts and each is appended on a condition.
inline constexpr std::string_view leaderTopic = "crocusferry.leader";
/// Who holds which keys, by service.
inline constexpr std::string_view assignmentTopic = "keyed.crocusferry";

} // namespace Edge
