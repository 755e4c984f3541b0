#include "mulberryplank/policy/targetresponse.h"

#include <algorithm>
#include <array>

namespace mulberryplank
{

std::string_view toString(ResponseIdentity identity)
{
    constexpr std::array<std::string_view, 3> Names { "own", "missing", "other" };
    return Names.at(static_cast<std::size_t>(identity));
}

ResponseIdentity identityOf(std::string_view requestId, std::string_view responseId)
{
    if (responseId == requestId) {
        return ResponseIdentity::Own;
    }
    return responseId.empty() ? ResponseIdentity::Missing : ResponseIdentity::Other;
}

bool impliesNotRun(unsigned status)
{
    constexpr std::array<unsigned, 4> Promises { 408, 421, 429, 503 };
    return std::find(Promises.begin(), Promises.end(), status) != Promises.end();
}

} // namespace mulberryplank
