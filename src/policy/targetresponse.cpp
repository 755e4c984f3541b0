#include "mulberryplank/policy/targetresponse.h"

#include <algorithm>
#include <array>

namespace mulberryplank
{

std::string_view toString(StatusClass statusClass)
{
    constexpr std::array<std::string_view, 3> Names { "interim", "final", "invalid" };
    return Names.at(static_cast<std::size_t>(statusClass));
}

StatusClass statusClassOf(unsigned status)
{
    constexpr unsigned FirstInterim = 100;
    constexpr unsigned SwitchingProtocols = 101;
    constexpr unsigned FirstFinal = 200;
    constexpr unsigned FirstBeyond = 600;
    if (status < FirstInterim || status == SwitchingProtocols || status >= FirstBeyond) {
        return StatusClass::Invalid;
    }
    return status < FirstFinal ? StatusClass::Interim : StatusClass::Final;
}

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
