#pragma once

#include <agreement/shardassignment.h>
#include <agreement/vmstart.h>
#include <agreement/writer.h>

#include <boost/json.hpp>
#include <boost/leaf/result.hpp>

#include <map>
#include <string_view>

/// The parts that several records share, from JSON. Each failure is a CodecError.
namespace Agreement::Internal {

boost::leaf::result<Writer> writerFromJson(const boost::json::object& object);

/// The field \a name of \a parent.
boost::leaf::result<VmStart> vmStartFromJson(const boost::json::object& parent, std::string_view name);

/// The field "upstreams" of \a parent.
boost::leaf::result<std::map<Utils::UpstreamId, Utils::Incarnation>> upstreamsFromJson(
    const boost::json::object& parent);

/// The field "shards" of \a parent.
boost::leaf::result<std::map<Utils::ShardId, ShardAssignment>> shardsFromJson(
    const boost::json::object& parent);

} // namespace Agreement::Internal
