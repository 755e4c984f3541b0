#include "mulberryplank/net/ratelimitmessages.h"

#include <algorithm>
#include <cmath>

#include <cereal/types/vector.hpp>

#include "mulberryplank/net/cerealcodec.h"

namespace mulberryplank
{

template<typename Archive>
void save(Archive &archive, const RateLimitReport &report)
{
    archive(report.target, report.perSecond.has_value(), report.perSecond.value_or(0), report.ageMillis);
}

template<typename Archive>
void load(Archive &archive, RateLimitReport &report)
{
    bool isLimited = false;
    double perSecond = 0;
    archive(report.target, isLimited, perSecond, report.ageMillis);
    report.perSecond = isLimited ? std::optional(perSecond) : std::nullopt;
}

std::string encode(const std::vector<RateLimitReport> &reports)
{
    return cerealEncode(reports);
}

Result<std::vector<RateLimitReport>> decodeRateLimitReports(std::string_view bytes)
{
    Result<std::vector<RateLimitReport>> reports = cerealDecode<std::vector<RateLimitReport>>(bytes);
    const bool isValid = reports && std::all_of(reports->begin(), reports->end(), [](const RateLimitReport &report) {
                             const double perSecond = report.perSecond.value_or(0);
                             return std::isfinite(perSecond) && perSecond >= 0;
                         });
    if (reports && !isValid) {
        return failure(ErrorKind::BadRequest, "rate limit is not a rate");
    }
    return reports;
}

} // namespace mulberryplank
