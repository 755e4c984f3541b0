#include "mulberryplank/policy/member.h"

#include <array>
#include <charconv>

namespace mulberryplank
{

std::string toString(const Endpoint &endpoint)
{
    return endpoint.host + ":" + std::to_string(endpoint.port);
}

std::optional<Endpoint> endpointFromString(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    Endpoint endpoint;
    endpoint.host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    const bool whole = error == std::errc() && end == port.data() + port.size() && endpoint.port != 0;
    return whole ? std::optional(std::move(endpoint)) : std::nullopt;
}

std::string_view toString(MemberStatus status)
{
    constexpr std::array<std::string_view, 4> Names { "alive", "suspect", "leaving", "dead" };
    return Names.at(static_cast<std::size_t>(status));
}

} // namespace mulberryplank
