#include <wire/peercodec.h>

#include <wire/wireconstants.h>

#include <boost/endian/conversion.hpp>
#include <peer_generated.h>

#include <cstring>
#include <optional>

namespace Wire {

namespace Internal {

namespace leaf = boost::leaf;
using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

using HeaderOffsets = Offset<flatbuffers::Vector<Offset<Generated::Header>>>;
using HeaderVector = flatbuffers::Vector<Offset<Generated::Header>>;
using ByteVector = flatbuffers::Vector<std::uint8_t>;

constexpr std::size_t maxVerifierDepth = 8;

HeaderOffsets writeHeaders(FlatBufferBuilder& builder, const std::vector<HttpHeader>& headers)
{
    std::vector<Offset<Generated::Header>> offsets;
    offsets.reserve(headers.size());
    for (const HttpHeader& header : headers)
        offsets.push_back(Generated::CreateHeader(
            builder, builder.CreateString(header.name), builder.CreateString(header.value)));
    return builder.CreateVector(offsets);
}

Offset<ByteVector> writeBytes(FlatBufferBuilder& builder, const std::string& bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

struct BodyOffset {
    Generated::Body type;
    Offset<void> offset;
};

BodyOffset writeBody(FlatBufferBuilder& builder, const Hello& hello)
{
    return { Generated::Body::Hello,
        Generated::CreateHello(builder, builder.CreateString(hello.vm.value), hello.incarnation).Union() };
}

BodyOffset writeBody(FlatBufferBuilder& builder, const WorkRequest& work)
{
    const Offset<Generated::WorkRequest> offset
        = Generated::CreateWorkRequest(builder, work.request, builder.CreateString(work.pool.value),
            work.token, builder.CreateString(work.service.value), builder.CreateString(work.shard.value),
            builder.CreateString(work.rank.value), builder.CreateString(work.caller), work.timeout.count(),
            work.idempotent, builder.CreateString(work.requestId.value), work.attempt,
            builder.CreateString(work.method), builder.CreateString(work.target),
            writeHeaders(builder, work.headers), writeBytes(builder, work.body));
    return { Generated::Body::WorkRequest, offset.Union() };
}

BodyOffset writeBody(FlatBufferBuilder& builder, const AnswerHead& head)
{
    return { Generated::Body::AnswerHead,
        Generated::CreateAnswerHead(builder, head.request, static_cast<std::uint16_t>(head.status),
            writeHeaders(builder, head.headers))
            .Union() };
}

BodyOffset writeBody(FlatBufferBuilder& builder, const AnswerChunk& chunk)
{
    return { Generated::Body::AnswerChunk,
        Generated::CreateAnswerChunk(builder, chunk.request, writeBytes(builder, chunk.bytes)).Union() };
}

BodyOffset writeBody(FlatBufferBuilder& builder, const AnswerEnd& end)
{
    return { Generated::Body::AnswerEnd,
        Generated::CreateAnswerEnd(builder, end.request, end.whole).Union() };
}

BodyOffset writeBody(FlatBufferBuilder& builder, const WorkRefused& refused)
{
    const Offset<flatbuffers::String> reason
        = builder.CreateString(std::string(Utils::enumName(Requests::reasonNames, refused.reason)));
    return { Generated::Body::WorkRefused,
        Generated::CreateWorkRefused(builder, refused.request, reason, refused.retryAfter.count()).Union() };
}

BodyOffset writeBody(FlatBufferBuilder& builder, const AnswerCredit& credit)
{
    return { Generated::Body::AnswerCredit,
        Generated::CreateAnswerCredit(builder, credit.request, credit.bytes).Union() };
}

BodyOffset writeBody(FlatBufferBuilder& builder, const WorkCancel& cancel)
{
    return { Generated::Body::WorkCancel, Generated::CreateWorkCancel(builder, cancel.request).Union() };
}

BodyOffset writeBody(FlatBufferBuilder& builder, const LinkProbe& probe)
{
    return { Generated::Body::LinkProbe,
        Generated::CreateLinkProbe(builder, probe.number, probe.answer).Union() };
}

std::string readString(const flatbuffers::String* text) { return std::string(text->c_str(), text->size()); }

std::string readBytes(const ByteVector* bytes)
{
    return std::string(reinterpret_cast<const char*>(bytes->data()), bytes->size());
}

std::vector<HttpHeader> readHeaders(const HeaderVector* headers)
{
    std::vector<HttpHeader> result;
    result.reserve(headers->size());
    for (const Generated::Header* header : *headers)
        result.push_back({ readString(header->name()), readString(header->value()) });
    return result;
}

WorkRequest readWorkRequest(const Generated::WorkRequest& work)
{
    WorkRequest result;
    result.request = work.request();
    result.pool.value = readString(work.pool());
    result.token = work.token();
    result.service.value = readString(work.service());
    result.shard.value = readString(work.shard());
    result.rank.value = readString(work.rank());
    result.caller = readString(work.caller());
    result.timeout = Utils::Duration(work.timeout_us());
    result.idempotent = work.idempotent();
    result.requestId.value = readString(work.request_id());
    result.attempt = work.attempt();
    result.method = readString(work.method());
    result.target = readString(work.target());
    result.headers = readHeaders(work.headers());
    result.body = readBytes(work.body());
    return result;
}

leaf::result<PeerMessage> readRefused(const Generated::WorkRefused& refused)
{
    const std::optional<Requests::Reason> reason
        = Utils::enumFromName(Requests::reasonNames, readString(refused.reason()));
    if (!reason)
        return leaf::new_error(WireError::UnknownReason);
    return PeerMessage(WorkRefused { refused.request(), *reason, Utils::Duration(refused.retry_after_us()) });
}

leaf::result<PeerMessage> readHead(const Generated::AnswerHead& head)
{
    constexpr unsigned lowestStatus = 200;
    constexpr unsigned highestStatus = 599;
    if (head.status() < lowestStatus || head.status() > highestStatus)
        return leaf::new_error(WireError::ValueOutOfRange);
    return PeerMessage(AnswerHead { head.request(), head.status(), readHeaders(head.headers()) });
}

leaf::result<PeerMessage> readMessage(const Generated::PeerMessage& message)
{
    switch (message.body_type()) {
    case Generated::Body::Hello:
        return PeerMessage(
            Hello { { readString(message.body_as_Hello()->vm()) }, message.body_as_Hello()->incarnation() });
    case Generated::Body::WorkRequest:
        return PeerMessage(readWorkRequest(*message.body_as_WorkRequest()));
    case Generated::Body::AnswerHead:
        return readHead(*message.body_as_AnswerHead());
    case Generated::Body::AnswerChunk:
        return PeerMessage(AnswerChunk {
            message.body_as_AnswerChunk()->request(), readBytes(message.body_as_AnswerChunk()->bytes()) });
    case Generated::Body::AnswerEnd:
        return PeerMessage(
            AnswerEnd { message.body_as_AnswerEnd()->request(), message.body_as_AnswerEnd()->whole() });
    case Generated::Body::WorkRefused:
        return readRefused(*message.body_as_WorkRefused());
    case Generated::Body::AnswerCredit:
        return PeerMessage(AnswerCredit {
            message.body_as_AnswerCredit()->request(), message.body_as_AnswerCredit()->bytes() });
    case Generated::Body::WorkCancel:
        return PeerMessage(WorkCancel { message.body_as_WorkCancel()->request() });
    case Generated::Body::LinkProbe:
        return PeerMessage(
            LinkProbe { message.body_as_LinkProbe()->number(), message.body_as_LinkProbe()->answer() });
    case Generated::Body::NONE:
        break;
    }
    return leaf::new_error(WireError::UnknownMessage);
}

} // namespace Internal

std::string encodePeerMessage(const PeerMessage& message)
{
    flatbuffers::FlatBufferBuilder builder;
    const Internal::BodyOffset body = std::visit(
        [&builder](const auto& content) { return Internal::writeBody(builder, content); }, message);
    builder.Finish(Generated::CreatePeerMessage(builder, body.type, body.offset));
    const std::uint32_t length = boost::endian::native_to_little(builder.GetSize());
    std::string frame;
    frame.reserve(frameLengthBytes + builder.GetSize());
    frame.append(reinterpret_cast<const char*>(&length), frameLengthBytes);
    frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    return frame;
}

boost::leaf::result<std::uint32_t> decodeFrameLength(std::string_view prefix)
{
    if (prefix.size() != frameLengthBytes)
        return boost::leaf::new_error(WireError::FrameMalformed);
    std::uint32_t length = 0;
    std::memcpy(&length, prefix.data(), frameLengthBytes);
    boost::endian::little_to_native_inplace(length);
    if (length == 0)
        return boost::leaf::new_error(WireError::FrameEmpty);
    if (length > maxFrameBytes)
        return boost::leaf::new_error(WireError::FrameTooLong);
    return length;
}

boost::leaf::result<PeerMessage> decodePeerMessage(std::string_view frame)
{
    const std::uint8_t* bytes = reinterpret_cast<const std::uint8_t*>(frame.data());
    flatbuffers::Verifier verifier(bytes, frame.size(), Internal::maxVerifierDepth);
    if (!Generated::VerifyPeerMessageBuffer(verifier))
        return boost::leaf::new_error(WireError::FrameMalformed);
    return Internal::readMessage(*Generated::GetPeerMessage(bytes));
}

} // namespace Wire
