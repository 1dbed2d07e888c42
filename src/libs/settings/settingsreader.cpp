#include <settings/settingsreader.h>

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <memory>

namespace Settings {

namespace Internal {

using TextArgument = TCLAP::ValueArg<std::string>;

std::string helpText(const SettingSpec& spec)
{
    std::string text = spec.help + " [" + spec.variable;
    text += spec.fallback ? ", default " + *spec.fallback : ", required";
    return text + "]";
}

boost::leaf::result<std::string> resolve(
    const SettingSpec& spec, const TextArgument& argument, const VariableLookup& lookup)
{
    if (argument.isSet())
        return argument.getValue();
    const std::optional<std::string> variable = lookup(spec.variable);
    if (variable)
        return *variable;
    if (spec.fallback)
        return *spec.fallback;
    return boost::leaf::new_error(SettingFault {
        SettingError::Missing, spec.name, "", "a value by --" + spec.name + " or " + spec.variable });
}

} // namespace Internal

std::optional<std::string> environmentVariable(const std::string& name)
{
    const char* value = std::getenv(name.c_str());
    if (value == nullptr)
        return std::nullopt;
    return std::string(value);
}

boost::leaf::result<SettingValues> readSettings(const std::string& description, const std::string& version,
    const std::vector<SettingSpec>& specs, std::vector<std::string> arguments, const VariableLookup& lookup)
{
    TCLAP::CmdLine command(description, ' ', version);
    command.setExceptionHandling(false);
    std::vector<std::unique_ptr<Internal::TextArgument>> parsers;
    parsers.reserve(specs.size());
    for (const SettingSpec& spec : specs) {
        parsers.push_back(std::make_unique<Internal::TextArgument>(
            "", spec.name, Internal::helpText(spec), false, "", "value", command));
    }
    try {
        command.parse(arguments);
    } catch (const TCLAP::ArgException& exception) {
        return boost::leaf::new_error(SettingFault {
            SettingError::UnknownFlag, exception.argId(), exception.error(), "a flag listed by --help" });
    } catch (const TCLAP::ExitException& exception) {
        std::exit(exception.getExitStatus());
    }
    SettingValues values;
    for (std::size_t index = 0; index < specs.size(); ++index) {
        BOOST_LEAF_AUTO(value, Internal::resolve(specs[index], *parsers[index], lookup));
        values[specs[index].name] = value;
    }
    return values;
}

} // namespace Settings
