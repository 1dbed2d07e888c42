#include <declarations/documentfiles.h>

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace leaf = boost::leaf;

namespace Declarations {

namespace {

leaf::result<Document> readDocument(const std::filesystem::path& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return leaf::new_error(DocumentError::NotReadable, DocumentPath { path.string() });
    Document document { path.string(), {} };
    document.text.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    if (file.bad())
        return leaf::new_error(DocumentError::NotReadable, DocumentPath { path.string() });
    return document;
}

leaf::result<std::vector<std::filesystem::path>> filesIn(const std::filesystem::path& folder)
{
    std::error_code error;
    std::vector<std::filesystem::path> files;
    std::filesystem::directory_iterator entry(folder, error);
    while (!error && entry != std::filesystem::directory_iterator()) {
        if (entry->path().extension() == ".json")
            files.push_back(entry->path());
        entry.increment(error);
    }
    if (error)
        return leaf::new_error(DocumentError::NotReadable, DocumentPath { folder.string() });
    if (files.empty())
        return leaf::new_error(DocumentError::EmptyFolder, DocumentPath { folder.string() });
    std::sort(files.begin(), files.end());
    return files;
}

leaf::result<std::vector<std::filesystem::path>> filesAt(const std::filesystem::path& path)
{
    std::error_code error;
    const std::filesystem::file_status status = std::filesystem::status(path, error);
    if (!std::filesystem::exists(status))
        return leaf::new_error(DocumentError::NotFound, DocumentPath { path.string() });
    if (std::filesystem::is_directory(status))
        return filesIn(path);
    return std::vector<std::filesystem::path> { path };
}

} // namespace

leaf::result<std::vector<Document>> readDocuments(const std::vector<std::string>& paths)
{
    std::vector<Document> documents;
    for (const std::string& path : paths) {
        BOOST_LEAF_AUTO(files, filesAt(path));
        for (const std::filesystem::path& file : files) {
            BOOST_LEAF_AUTO(document, readDocument(file));
            documents.push_back(document);
        }
    }
    return documents;
}

} // namespace Declarations
