#include <wire/controlcodec.h>

#include <wire/wireconstants.h>

#include <control_generated.h>

#include <vector>

namespace Wire {

namespace Internal {

namespace leaf = boost::leaf;
using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr std::size_t maxVerifierDepth = 8;
constexpr std::int64_t maxRemainingMicroseconds = 3'600'000'000;

struct BodyOffset {
    Generated::ControlBody type;
    Offset<void> offset;
};

Offset<Generated::Level> writeLevel(FlatBufferBuilder& builder, const Ownership::GrantLevel& level)
{
    return Generated::CreateLevel(builder, level.token, level.epoch);
}

BodyOffset writeBody(FlatBufferBuilder& builder, const Heartbeat& beat)
{
    return { Generated::ControlBody::Heartbeat,
        Generated::CreateHeartbeat(builder, beat.sequence, beat.answer, beat.applied, beat.leaving).Union() };
}

BodyOffset writeBody(FlatBufferBuilder& builder, const Ownership::AttestRequest& request)
{
    const Offset<flatbuffers::String> pool = builder.CreateString(request.pool.value);
    return { Generated::ControlBody::AttestRequest,
        Generated::CreateAttestRequest(builder, pool, writeLevel(builder, request.level), request.queryId)
            .Union() };
}

BodyOffset writeBody(FlatBufferBuilder& builder, const Ownership::AttestResponse& answer)
{
    const Offset<flatbuffers::String> pool = builder.CreateString(answer.pool.value);
    const Offset<Generated::Level> level = writeLevel(builder, answer.level);
    const Offset<Generated::Level> highest = writeLevel(builder, answer.highestKnownLevel);
    return { Generated::ControlBody::AttestAnswer,
        Generated::CreateAttestAnswer(builder, pool, level, answer.queryId, highest, answer.isAttested)
            .Union() };
}

BodyOffset writeBody(FlatBufferBuilder& builder, const Ownership::StopRequest& request)
{
    const Offset<flatbuffers::String> pool = builder.CreateString(request.pool.value);
    return { Generated::ControlBody::StopRequest,
        Generated::CreateStopRequest(builder, pool, writeLevel(builder, request.level), request.queryId)
            .Union() };
}

BodyOffset writeBody(FlatBufferBuilder& builder, const Ownership::StopResponse& answer)
{
    const Offset<flatbuffers::String> pool = builder.CreateString(answer.pool.value);
    const Offset<Generated::Level> level = writeLevel(builder, answer.level);
    const Offset<Generated::Level> highest = writeLevel(builder, answer.highestKnownLevel);
    std::vector<Offset<Generated::RemainingGrant>> remaining;
    remaining.reserve(answer.remainingGrantTimes.size());
    for (const std::pair<const Utils::UpstreamId, Utils::Duration>& entry : answer.remainingGrantTimes) {
        const Offset<flatbuffers::String> upstream = builder.CreateString(entry.first.value);
        remaining.push_back(Generated::CreateRemainingGrant(builder, upstream, entry.second.count()));
    }
    return { Generated::ControlBody::StopAnswer,
        Generated::CreateStopAnswer(
            builder, pool, level, answer.queryId, highest, builder.CreateVector(remaining))
            .Union() };
}

BodyOffset writeBody(FlatBufferBuilder& builder, const Ownership::PeerMessage& message)
{
    return std::visit([&builder](const auto& content) { return writeBody(builder, content); }, message);
}

Ownership::GrantLevel readLevel(const Generated::Level& level) { return { level.token(), level.epoch() }; }

Utils::PoolId readPool(const flatbuffers::String* pool) { return { pool->str() }; }

leaf::result<Ownership::PeerMessage> readStopAnswer(const Generated::StopAnswer& answer)
{
    Ownership::StopResponse result;
    result.pool = readPool(answer.pool());
    result.level = readLevel(*answer.level());
    result.queryId = answer.ask();
    result.highestKnownLevel = readLevel(*answer.highest());
    for (const Generated::RemainingGrant* grant : *answer.remaining()) {
        if (grant->remaining_us() < 0 || grant->remaining_us() > maxRemainingMicroseconds)
            return leaf::new_error(WireError::ValueOutOfRange);
        result.remainingGrantTimes[{ grant->upstream()->str() }] = Utils::Duration(grant->remaining_us());
    }
    return Ownership::PeerMessage(result);
}

Ownership::PeerMessage readAttestAnswer(const Generated::AttestAnswer& answer)
{
    return Ownership::AttestResponse { readPool(answer.pool()), readLevel(*answer.level()), answer.ask(),
        readLevel(*answer.highest()), answer.attested() };
}

leaf::result<Ownership::PeerMessage> readPeerMessage(const Generated::ControlMessage& message)
{
    switch (message.body_type()) {
    case Generated::ControlBody::AttestRequest: {
        const Generated::AttestRequest& request = *message.body_as_AttestRequest();
        return Ownership::PeerMessage(Ownership::AttestRequest {
            readPool(request.pool()), readLevel(*request.level()), request.ask() });
    }
    case Generated::ControlBody::AttestAnswer:
        return readAttestAnswer(*message.body_as_AttestAnswer());
    case Generated::ControlBody::StopRequest: {
        const Generated::StopRequest& request = *message.body_as_StopRequest();
        return Ownership::PeerMessage(
            Ownership::StopRequest { readPool(request.pool()), readLevel(*request.level()), request.ask() });
    }
    case Generated::ControlBody::StopAnswer:
        return readStopAnswer(*message.body_as_StopAnswer());
    case Generated::ControlBody::Heartbeat:
    case Generated::ControlBody::NONE:
        break;
    }
    return leaf::new_error(WireError::UnknownMessage);
}

} // namespace Internal

std::string encodeControlMessage(const ControlMessage& message)
{
    flatbuffers::FlatBufferBuilder builder;
    const Internal::Offset<flatbuffers::String> vm = builder.CreateString(message.from.vm.value);
    const Internal::BodyOffset body = std::visit(
        [&builder](const auto& content) { return Internal::writeBody(builder, content); }, message.body);
    builder.Finish(
        Generated::CreateControlMessage(builder, vm, message.from.incarnation, body.type, body.offset));
    return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
}

boost::leaf::result<ControlMessage> decodeControlMessage(std::string_view datagram)
{
    if (datagram.empty())
        return boost::leaf::new_error(WireError::FrameEmpty);
    if (datagram.size() > maxDatagramBytes)
        return boost::leaf::new_error(WireError::FrameTooLong);
    const std::uint8_t* bytes = reinterpret_cast<const std::uint8_t*>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size(), Internal::maxVerifierDepth);
    if (!Generated::VerifyControlMessageBuffer(verifier))
        return boost::leaf::new_error(WireError::FrameMalformed);
    const Generated::ControlMessage& message = *Generated::GetControlMessage(bytes);
    ControlMessage result;
    result.from = { { message.vm()->str() }, message.incarnation() };
    if (message.body_type() == Generated::ControlBody::Heartbeat) {
        const Generated::Heartbeat& beat = *message.body_as_Heartbeat();
        result.body = Heartbeat { beat.sequence(), beat.answer(), beat.applied(), beat.leaving() };
        return result;
    }
    BOOST_LEAF_ASSIGN(result.body, Internal::readPeerMessage(message));
    return result;
}

} // namespace Wire
