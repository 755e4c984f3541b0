#include "mulberryplank/policy/routetable.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace mulberryplank
{

namespace internal
{

namespace
{

std::string hostKey(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return key;
}

} // namespace

} // namespace internal

std::string_view toString(RouteKind kind)
{
    constexpr std::array<std::string_view, 3> Names { "idempotent", "once", "large-answer" };
    return Names.at(static_cast<std::size_t>(kind));
}

const HostRoute *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = hosts.find(internal::hostKey(host));
    if (routes == hosts.end()) {
        return nullptr;
    }
    const std::string_view pathWithoutQuery = path.substr(0, path.find('?'));
    const HostRoute *longest = nullptr;
    for (const HostRoute &route : routes->second) {
        const bool longer = longest == nullptr || route.pathPrefix.size() > longest->pathPrefix.size();
        if (longer && pathWithoutQuery.starts_with(route.pathPrefix)) {
            longest = &route;
        }
    }
    return longest;
}

} // namespace mulberryplank
