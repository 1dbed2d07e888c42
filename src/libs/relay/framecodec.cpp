#include <relay/deflation.h>
#include <relay/framecodec.h>
#include <relay_generated.h>
#include <relay/relayerror.h>

#include <boost/endian/conversion.hpp>
#include <boost/leaf/error.hpp>

#include <algorithm>
#include <array>

namespace Relay {

namespace leaf = boost::leaf;

namespace Internal {

constexpr std::size_t lengthBytes = 4;
constexpr std::uint32_t compressedBit = 0x80000000;

using Builder = flatbuffers::FlatBufferBuilder;
using Bytes = flatbuffers::Vector<std::uint8_t>;
using Strings = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;

flatbuffers::Offset<Bytes> packBytes(Builder& builder, std::string_view text)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
}

std::string unpackBytes(const Bytes& bytes)
{
    return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
}

flatbuffers::Offset<Generated::Record> packRecord(Builder& builder, const RelayRecord& record)
{
    const flatbuffers::Offset<flatbuffers::String> key = builder.CreateString(record.key);
    const flatbuffers::Offset<Bytes> value = record.value ? packBytes(builder, *record.value) : 0;
    return Generated::CreateRecord(
        builder, static_cast<std::uint8_t>(record.topic), key, value, record.offset);
}

std::vector<flatbuffers::Offset<flatbuffers::String>> packStrings(
    Builder& builder, const std::vector<std::string>& strings)
{
    std::vector<flatbuffers::Offset<flatbuffers::String>> packed;
    packed.reserve(strings.size());
    for (const std::string& text : strings)
        packed.push_back(builder.CreateString(text));
    return packed;
}

std::uint32_t encodeAge(Utils::Duration age)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(Utils::toMilliseconds(age), 0, UINT32_MAX));
}

flatbuffers::Optional<std::uint32_t> encodeOptionalAge(const std::optional<Utils::Duration>& age)
{
    return age ? flatbuffers::Optional<std::uint32_t>(encodeAge(*age)) : flatbuffers::nullopt;
}

std::uint64_t encodeInstant(Utils::Instant instant)
{
    return static_cast<std::uint64_t>(Utils::toMilliseconds(instant.time_since_epoch()));
}

std::vector<flatbuffers::Offset<Generated::Limit>> packLimits(
    Builder& builder, const std::vector<LimitNotice>& limits)
{
    std::vector<flatbuffers::Offset<Generated::Limit>> packed;
    packed.reserve(limits.size());
    for (const LimitNotice& limit : limits)
        packed.push_back(Generated::CreateLimitDirect(
            builder, limit.upstream.value.c_str(), limit.perSecond, limit.isNamed, encodeAge(limit.age)));
    return packed;
}

std::vector<LimitNotice> unpackLimits(
    const flatbuffers::Vector<flatbuffers::Offset<Generated::Limit>>* packed)
{
    std::vector<LimitNotice> limits;
    if (!packed)
        return limits;
    for (const Generated::Limit* limit : *packed)
        limits.push_back({ { limit->upstream()->str() }, limit->per_second(), limit->named(),
            std::chrono::milliseconds(limit->age_ms()) });
    return limits;
}

std::vector<flatbuffers::Offset<Generated::Leaving>> packLeaving(
    Builder& builder, const std::vector<LeavingNotice>& leaving)
{
    std::vector<flatbuffers::Offset<Generated::Leaving>> packed;
    packed.reserve(leaving.size());
    for (const LeavingNotice& notice : leaving)
        packed.push_back(
            Generated::CreateLeavingDirect(builder, notice.upstream.value.c_str(), notice.startTimeMs));
    return packed;
}

std::vector<LeavingNotice> unpackLeaving(
    const flatbuffers::Vector<flatbuffers::Offset<Generated::Leaving>>* packed)
{
    std::vector<LeavingNotice> leaving;
    if (!packed)
        return leaving;
    for (const Generated::Leaving* notice : *packed)
        leaving.push_back({ { notice->upstream()->str() }, notice->born_ms() });
    return leaving;
}

/// Returns null for an empty text, so that its field is absent.
const char* optionalText(const std::string& text) { return text.empty() ? nullptr : text.c_str(); }

std::string unpackOptionalText(const flatbuffers::String* packed) { return packed ? packed->str() : ""; }

flatbuffers::Offset<void> packBody(Builder& builder, const Subscription& subscription)
{
    return Generated::CreateSubscriptionDirect(builder, subscription.vm.value.c_str(),
        subscription.configurations, subscription.reports, subscription.assignments,
        subscription.storeIsLocal, optionalText(subscription.zone.value), subscription.followsRedirects,
        subscription.isRedirected, subscription.subscribers, subscription.relayFailed,
        subscription.cpuPercent, subscription.linkMegabits)
        .Union();
}

flatbuffers::Offset<void> packBody(Builder& builder, const Update& update)
{
    std::vector<flatbuffers::Offset<Generated::Record>> records;
    for (const RelayRecord& record : update.records)
        records.push_back(packRecord(builder, record));
    const std::vector<flatbuffers::Offset<flatbuffers::String>> peers = packStrings(builder, update.peers);
    const std::vector<flatbuffers::Offset<flatbuffers::String>> members
        = packStrings(builder, update.members);
    const std::vector<flatbuffers::Offset<Generated::Limit>> limits = packLimits(builder, update.limits);
    const std::vector<flatbuffers::Offset<Generated::Leaving>> leaving = packLeaving(builder, update.leaving);
    return Generated::CreateUpdateDirect(builder, update.leader.c_str(), update.leaderTopicEnd,
        update.isFresh, update.vmCount, &peers, &records, update.senderIsSource, update.reportsEnd, &members,
        limits.empty() ? nullptr : &limits, optionalText(update.relay), update.hops,
        leaving.empty() ? nullptr : &leaving, encodeOptionalAge(update.configurationAge),
        update.sentAt ? encodeInstant(*update.sentAt) : 0, encodeOptionalAge(update.recordsAge))
        .Union();
}

flatbuffers::Offset<void> packBody(Builder& builder, const LoadFrame& loadReport)
{
    const flatbuffers::Offset<Bytes> report = packBytes(builder, loadReport.report);
    const std::vector<flatbuffers::Offset<Generated::Limit>> limits = packLimits(builder, loadReport.limits);
    const flatbuffers::Offset<Strings> members
        = loadReport.members ? builder.CreateVector(packStrings(builder, *loadReport.members)) : 0;
    const std::vector<flatbuffers::Offset<Generated::Leaving>> leaving
        = packLeaving(builder, loadReport.leaving);
    return Generated::CreateLoad(builder, report, limits.empty() ? 0 : builder.CreateVector(limits), members,
        leaving.empty() ? 0 : builder.CreateVector(leaving))
        .Union();
}

flatbuffers::Offset<void> packBody(Builder& builder, const TerminationFrame& termination)
{
    return Generated::CreateLossDirect(builder, termination.upstream.value.c_str(), termination.offset)
        .Union();
}

flatbuffers::Offset<void> packBody(Builder& builder, const CrashReportFrame& frame)
{
    std::vector<Generated::CrashReport> reports;
    reports.reserve(frame.reports.size());
    for (const CrashReport& report : frame.reports)
        reports.emplace_back(report.id, report.fingerprint, report.upstream, encodeAge(report.sentAge),
            encodeAge(report.endedAge), static_cast<std::uint8_t>(report.kind));
    return Generated::CreateCrashReportsDirect(builder, &reports).Union();
}

Generated::Body bodyTypeFor(const Frame& frame)
{
    constexpr std::array<Generated::Body, 5> types { Generated::Body::Subscription, Generated::Body::Update,
        Generated::Body::Load, Generated::Body::Loss, Generated::Body::CrashReports };
    return types.at(frame.index());
}

std::vector<std::string> unpackStrings(const Strings* packed)
{
    std::vector<std::string> strings;
    if (!packed)
        return strings;
    for (const flatbuffers::String* text : *packed)
        strings.push_back(text->str());
    return strings;
}

Update unpackUpdate(const Generated::Update& packed)
{
    Update update;
    update.leader = packed.leader()->str();
    update.leaderTopicEnd = packed.leader_end();
    update.isFresh = packed.fresh();
    update.vmCount = packed.vms();
    update.senderIsSource = packed.source();
    update.reportsEnd = packed.reports_end();
    for (const Generated::Record* record : *packed.records()) {
        RelayRecord unpacked { static_cast<RelayTopic>(record->topic()), record->key()->str(), std::nullopt,
            record->offset() };
        if (record->value())
            unpacked.value = unpackBytes(*record->value());
        update.records.push_back(std::move(unpacked));
    }
    update.peers = unpackStrings(packed.peers());
    update.members = unpackStrings(packed.members());
    update.limits = unpackLimits(packed.limits());
    update.relay = unpackOptionalText(packed.relay());
    update.hops = packed.hops();
    update.leaving = unpackLeaving(packed.leaving());
    if (packed.configuration_age_ms())
        update.configurationAge = std::chrono::milliseconds(*packed.configuration_age_ms());
    if (packed.records_age_ms())
        update.recordsAge = std::chrono::milliseconds(*packed.records_age_ms());
    if (packed.sent_ms() > 0)
        update.sentAt = Utils::Instant(std::chrono::milliseconds(packed.sent_ms()));
    return update;
}

Subscription unpackSubscription(const Generated::Subscription& packed)
{
    Subscription subscription;
    subscription.vm.value = packed.vm()->str();
    subscription.configurations = packed.configurations();
    subscription.reports = packed.reports();
    subscription.assignments = packed.assignments();
    subscription.storeIsLocal = packed.near_store();
    subscription.zone.value = unpackOptionalText(packed.zone());
    subscription.followsRedirects = packed.follows_redirects();
    subscription.isRedirected = packed.redirected();
    subscription.subscribers = packed.subscribers();
    subscription.relayFailed = packed.relay_failed();
    subscription.cpuPercent = packed.cpu_percent();
    subscription.linkMegabits = packed.link_mbps();
    return subscription;
}

LoadFrame unpackLoad(const Generated::Load& packed)
{
    LoadFrame frame { unpackBytes(*packed.report()), unpackLimits(packed.limits()), std::nullopt };
    if (packed.members())
        frame.members = unpackStrings(packed.members());
    frame.leaving = unpackLeaving(packed.leaving());
    return frame;
}

leaf::result<Frame> unpackCrashReports(const Generated::CrashReports& packed)
{
    CrashReportFrame frame;
    for (const Generated::CrashReport* report : *packed.reports()) {
        if (report->kind() > static_cast<std::uint8_t>(CrashReport::Kind::Life))
            return leaf::new_error(RelayError::Malformed);
        frame.reports.push_back({ static_cast<CrashReport::Kind>(report->kind()), report->id(),
            report->fingerprint(), report->upstream(), std::chrono::milliseconds(report->sent_age_ms()),
            std::chrono::milliseconds(report->ended_age_ms()) });
    }
    return frame;
}

std::string encodeLength(std::size_t length)
{
    std::string bytes(lengthBytes, '\0');
    boost::endian::store_big_u32(
        reinterpret_cast<unsigned char*>(bytes.data()), static_cast<std::uint32_t>(length));
    return bytes;
}

std::uint32_t decodeLength(std::string_view bytes)
{
    return boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(bytes.data()));
}

/// Returns the FlatBuffer that a frame's \a bytes contain.
leaf::result<std::string> uncompressedFrame(const std::string& bytes, bool deflated)
{
    if (!deflated)
        return bytes;
    if (bytes.size() < lengthBytes)
        return leaf::new_error(RelayError::Malformed);
    const std::size_t size = decodeLength(bytes);
    if (size > maxFrameBytes)
        return leaf::new_error(RelayError::TooLong);
    return inflateBytes(std::string_view(bytes).substr(lengthBytes), size);
}

leaf::result<Frame> unpackFrame(std::string_view bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (!Generated::VerifyFrameBuffer(verifier))
        return leaf::new_error(RelayError::Malformed);
    const Generated::Frame* frame = Generated::GetFrame(bytes.data());
    if (const Generated::Subscription* packed = frame->body_as_Subscription())
        return unpackSubscription(*packed);
    if (const Generated::Update* packed = frame->body_as_Update())
        return unpackUpdate(*packed);
    if (const Generated::Load* packed = frame->body_as_Load())
        return unpackLoad(*packed);
    if (const Generated::Loss* packed = frame->body_as_Loss())
        return TerminationFrame { { packed->upstream()->str() }, packed->offset() };
    if (const Generated::CrashReports* packed = frame->body_as_CrashReports())
        return unpackCrashReports(*packed);
    return leaf::new_error(RelayError::Malformed);
}

} // namespace Internal

std::string encodeFrame(const Frame& frame)
{
    Internal::Builder builder;
    const flatbuffers::Offset<void> body
        = std::visit([&builder](const auto& value) { return Internal::packBody(builder, value); }, frame);
    builder.Finish(Generated::CreateFrame(builder, Internal::bodyTypeFor(frame), body));
    const std::string_view packed(
        reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    if (packed.size() <= maxUncompressedFrameBytes)
        return Internal::encodeLength(packed.size()).append(packed);
    const std::string deflated = Internal::deflateBytes(packed);
    return Internal::encodeLength((Internal::lengthBytes + deflated.size()) | Internal::compressedBit)
        .append(Internal::encodeLength(packed.size()))
        .append(deflated);
}

leaf::result<std::optional<Frame>> extractFrame(std::string& stream)
{
    if (stream.size() < Internal::lengthBytes)
        return std::optional<Frame>();
    const std::uint32_t prefix = Internal::decodeLength(stream);
    const std::size_t length = prefix & ~Internal::compressedBit;
    if (length > maxFrameBytes)
        return leaf::new_error(RelayError::TooLong);
    if (stream.size() < Internal::lengthBytes + length)
        return std::optional<Frame>();
    const std::string bytes = stream.substr(Internal::lengthBytes, length);
    stream.erase(0, Internal::lengthBytes + length);
    BOOST_LEAF_AUTO(packed, Internal::uncompressedFrame(bytes, (prefix & Internal::compressedBit) != 0));
    BOOST_LEAF_AUTO(frame, Internal::unpackFrame(packed));
    return std::optional<Frame>(std::move(frame));
}

} // namespace Relay
