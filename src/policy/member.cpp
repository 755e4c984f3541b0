#include "mulberryplank/policy/member.h"

#include <array>

namespace mulberryplank
{

std::string toString(const Endpoint &endpoint)
{
    return endpoint.host + ":" + std::to_string(endpoint.port);
}

std::string_view toString(MemberStatus status)
{
    constexpr std::array<std::string_view, 4> Names { "alive", "suspect", "leaving", "dead" };
    return Names.at(static_cast<std::size_t>(status));
}

} // namespace mulberryplank
