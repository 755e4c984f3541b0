#include "mulberryplank/policy/configmodel.h"

namespace mulberryplank
{

namespace internal
{

constexpr std::array<std::string_view, 3> DetectionNames { "fast", "balanced", "cautious" };

} // namespace internal

std::string_view toString(Detection detection)
{
    return internal::DetectionNames.at(static_cast<std::size_t>(detection));
}

std::optional<Detection> detectionFromString(std::string_view name)
{
    for (std::size_t index = 0; index < internal::DetectionNames.size(); ++index) {
        if (internal::DetectionNames.at(index) == name) {
            return static_cast<Detection>(index);
        }
    }
    return std::nullopt;
}

Route defaultRoute(std::string_view method)
{
    Route route;
    route.name = "default";
    route.method = "*";
    route.pathPrefix = "/";
    route.idempotent = method == "GET" || method == "HEAD" || method == "OPTIONS";
    return route;
}

std::optional<std::size_t> matchRoute(const Service &service, std::string_view method, std::string_view path)
{
    for (std::size_t index = 0; index < service.routes.size(); ++index) {
        const Route &route = service.routes[index];
        const bool methodMatches = route.method == "*" || route.method == method;
        if (methodMatches && path.starts_with(route.pathPrefix)) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace mulberryplank
