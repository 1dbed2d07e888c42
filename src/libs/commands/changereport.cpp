#include <commands/changereport.h>

#include <boost/json/object.hpp>

#include <utility>

namespace Commands::Internal {

using Declarations::Change;
using Declarations::ChangeKind;

namespace {

std::string shown(const std::string& value)
{
    if (value.empty())
        return "(none)";
    return value;
}

void writeChange(std::ostream& stream, const Change& change)
{
    stream << Utils::enumName(Declarations::changeKindNames, change.change) << ' '
           << Utils::enumName(Declarations::objectKindNames, change.kind) << " \"" << change.object << '"';
    if (change.change == ChangeKind::Changed)
        stream << ' ' << change.field << ": " << shown(change.oldValue) << " -> " << shown(change.newValue);
    stream << '\n';
}

} // namespace

void writeChanges(std::ostream& stream, const std::vector<Change>& changes)
{
    for (const Change& change : changes)
        writeChange(stream, change);
    if (changes.empty())
        stream << "no changes\n";
}

boost::json::array changesToJson(const std::vector<Change>& changes)
{
    boost::json::array list;
    for (const Change& change : changes) {
        boost::json::object object;
        object["change"] = Utils::enumName(Declarations::changeKindNames, change.change);
        object["kind"] = Utils::enumName(Declarations::objectKindNames, change.kind);
        object["object"] = change.object;
        object["field"] = change.field;
        object["old"] = change.oldValue;
        object["new"] = change.newValue;
        list.push_back(std::move(object));
    }
    return list;
}

} // namespace Commands::Internal
