#include <loadreport_generated.h>
#include <granting/loadreportcodec.h>
#include <granting/recorderror.h>

#include <boost/leaf/error.hpp>

namespace Granting {

namespace Internal {

ServiceKeyCounts unpackService(const Generated::ServiceKeys& packed)
{
    ServiceKeyCounts service;
    service.service = { packed.service()->str() };
    const flatbuffers::uoffset_t size = std::min(packed.keys()->size(), packed.counts()->size());
    for (flatbuffers::uoffset_t index = 0; index < size; ++index)
        service.counts[packed.keys()->Get(index)] = packed.counts()->Get(index);
    return service;
}

} // namespace Internal

std::string encodeReport(const LoadReport& report)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<Generated::ServiceKeys>> services;
    for (const ServiceKeyCounts& service : report.services) {
        std::vector<std::uint16_t> keys;
        std::vector<std::uint16_t> counts;
        for (auto it = service.counts.begin(); it != service.counts.end(); ++it) {
            keys.push_back(it->first);
            counts.push_back(it->second);
        }
        services.push_back(
            Generated::CreateServiceKeysDirect(builder, service.service.value.c_str(), &keys, &counts));
    }
    builder.Finish(Generated::CreateLoadReportDirect(builder, report.vm.value.c_str(), &services));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

boost::leaf::result<LoadReport> decodeReport(std::span<const char> datagram)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(datagram.data()), datagram.size());
    if (!Generated::VerifyLoadReportBuffer(verifier))
        return boost::leaf::new_error(RecordError::Unreadable);
    const Generated::LoadReport* packed = Generated::GetLoadReport(datagram.data());
    LoadReport report;
    report.vm = { packed->vm()->str() };
    for (const Generated::ServiceKeys* service : *packed->services())
        report.services.push_back(Internal::unpackService(*service));
    return report;
}

} // namespace Granting
