#include "mulberryplank/net/targetnoticemessages.h"

#include <algorithm>

#include "mulberryplank/net/cerealcodec.h"

namespace mulberryplank
{

template<typename Archive>
void save(Archive &archive, const TargetNoticeReport &report)
{
    const auto rest = std::chrono::ceil<Millis>(report.notice.rest.value_or(Duration {}));
    const auto millis = static_cast<std::uint32_t>(std::max<std::int64_t>(rest.count(), 0));
    archive(report.target, report.notice.isLeaving, report.notice.rest.has_value(), millis);
}

template<typename Archive>
void load(Archive &archive, TargetNoticeReport &report)
{
    bool hasRest = false;
    std::uint32_t restMillis = 0;
    archive(report.target, report.notice.isLeaving, hasRest, restMillis);
    report.notice.rest = hasRest ? std::optional<Duration>(Millis(restMillis)) : std::nullopt;
}

std::string encode(const TargetNoticeReport &report)
{
    return cerealEncode(report);
}

Result<TargetNoticeReport> decodeTargetNoticeReport(std::string_view bytes)
{
    Result<TargetNoticeReport> report = cerealDecode<TargetNoticeReport>(bytes);
    if (report && report->notice.rest > MaxTargetRest) {
        return failure(ErrorKind::BadRequest, "a target's rest is out of range");
    }
    return report;
}

} // namespace mulberryplank
