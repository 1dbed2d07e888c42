#include <commands/declarationset.h>

#include <commands/faultreport.h>
#include <declarations/configurationparser.h>
#include <declarations/configurationreader.h>
#include <declarations/documentfiles.h>

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace leaf = boost::leaf;

namespace Commands::Internal {

namespace {

using Declarations::Document;
using Declarations::DocumentError;
using Declarations::DocumentPath;

std::optional<std::vector<Document>> loadDocuments(Console& console, const std::vector<std::string>& paths)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<std::vector<Document>>> {
            BOOST_LEAF_AUTO(documents, Declarations::readDocuments(paths));
            return std::optional<std::vector<Document>>(documents);
        },
        [&](DocumentError error, const DocumentPath& path) -> std::optional<std::vector<Document>> {
            console.error << path.value << ": " << Utils::enumName(Declarations::documentErrorNames, error)
                          << '\n';
            return std::nullopt;
        },
        [&]() -> std::optional<std::vector<Document>> { return std::nullopt; });
}

} // namespace

DeclarationSet readDeclarationSet(
    Console& console, OutputFormat format, const std::vector<std::string>& paths)
{
    DeclarationSet set;
    const std::optional<std::vector<Document>> documents = loadDocuments(console, paths);
    if (!documents.has_value()) {
        set.failure = ExitCode::NotFound;
        return set;
    }
    set.files = documents->size();
    Declarations::ParsedSet parsed = Declarations::parseConfiguration(*documents);
    Declarations::ReadResult result = Declarations::checkParsedSet(parsed);
    set.origins = std::move(parsed.origins);
    set.configuration = std::move(result.configuration);
    if (!set.configuration.has_value()) {
        writeFaults(console, format, result.faults);
        set.failure = ExitCode::Faults;
    }
    return set;
}

} // namespace Commands::Internal
