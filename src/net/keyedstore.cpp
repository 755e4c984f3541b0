#include "mulberryplank/net/keyedstore.h"

#include <array>

namespace mulberryplank
{

std::string_view toString(KeyedTopic topic)
{
    constexpr std::array<std::string_view, 3> Names { "configuration", "targets", "fleet" };
    return Names.at(static_cast<std::size_t>(topic));
}

KeyedPage continuedFrom(const StorePosition &from, KeyedPage page)
{
    if (page.next.era == from.era || from.offset == 0) {
        return page;
    }
    KeyedPage expired;
    expired.next.era = page.next.era;
    expired.historyExpired = true;
    return expired;
}

} // namespace mulberryplank
