#include <commands/faultreport.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace Commands::Internal {

using Declarations::Fault;

namespace {

void writeFault(std::ostream& stream, const Fault& fault)
{
    if (!fault.file.empty())
        stream << fault.file << ": ";
    if (!fault.place.empty())
        stream << fault.place << ": ";
    if (fault.kind != Declarations::ObjectKind::None) {
        stream << Utils::enumName(Declarations::objectKindNames, fault.kind) << " \"" << fault.object
               << "\": ";
    }
    stream << Utils::enumName(Declarations::faultCodeNames, fault.code) << ": " << fault.detail << '\n';
}

} // namespace

boost::json::array faultsToJson(const std::vector<Fault>& faults)
{
    boost::json::array list;
    for (const Fault& fault : faults) {
        boost::json::object object;
        object["code"] = Utils::enumName(Declarations::faultCodeNames, fault.code);
        object["file"] = fault.file;
        object["place"] = fault.place;
        object["kind"] = Utils::enumName(Declarations::objectKindNames, fault.kind);
        object["object"] = fault.object;
        object["detail"] = fault.detail;
        list.push_back(std::move(object));
    }
    return list;
}

void writeFaults(Console& console, OutputFormat format, const std::vector<Fault>& faults)
{
    if (format == OutputFormat::Json) {
        boost::json::object document;
        document["result"] = "faults";
        document["faults"] = faultsToJson(faults);
        console.out << boost::json::serialize(document) << '\n';
        return;
    }
    for (const Fault& fault : faults)
        writeFault(console.out, fault);
    console.out << faults.size() << (faults.size() == 1 ? " fault\n" : " faults\n");
}

} // namespace Commands::Internal
