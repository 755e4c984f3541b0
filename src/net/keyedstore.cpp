#include "mulberryplank/net/keyedstore.h"

#include <array>

namespace mulberryplank
{

std::string_view toString(KeyedTopic topic)
{
    constexpr std::array<std::string_view, 3> Names { "configuration", "targets", "fleet" };
    return Names.at(static_cast<std::size_t>(topic));
}

} // namespace mulberryplank
