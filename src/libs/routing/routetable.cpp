#include <routing/placementrules.h>
#include <routing/routetable.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace Routing {

namespace Internal {

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
        [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return name;
}

} // namespace Internal

RouteTable makeRouteTable(Configuration configuration)
{
    RouteTable table;
    table.configuration = std::move(configuration);
    for (std::size_t index = 0; index < table.configuration.routes.size(); ++index) {
        const Route& route = table.configuration.routes[index];
        table.routesByHost[Internal::normalizedHost(route.host)].emplace(route.pathPrefix, index);
    }
    table.homesByService = findServiceHomes(table.configuration);
    return table;
}

const Route* findRoute(const RouteTable& table, std::string_view host, std::string_view target)
{
    const auto byPrefix = table.routesByHost.find(Internal::normalizedHost(host));
    if (byPrefix == table.routesByHost.end())
        return nullptr;
    std::string prefix(target.substr(0, target.find_first_of("?#")));
    while (true) {
        const std::size_t slash = prefix.rfind('/');
        if (slash == std::string::npos)
            return nullptr;
        prefix.resize(slash + 1);
        const auto found = byPrefix->second.find(prefix);
        if (found != byPrefix->second.end())
            return &table.configuration.routes[found->second];
        prefix.resize(slash);
    }
}

} // namespace Routing
