#pragma once

#include <granting/keyassignment.h>
#include <granting/leaderrecord.h>

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

/// Records that the VMs keep in the store. They are JSON, so that operators can read them there.
namespace Granting {

std::string encodeLeader(const LeaderRecord& record);

/// Fails with a RecordError.
boost::leaf::result<LeaderRecord> decodeLeader(std::string_view text);

std::string encodeAssignment(const KeyAssignment& assignment);

/// Fails with a RecordError.
boost::leaf::result<KeyAssignment> decodeAssignment(std::string_view text);

} // namespace Granting
