#pragma once

#include <string>
#include <string_view>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/targetbalancer.h"
#include "mulberryplank/policy/targetkey.h"

namespace mulberryplank
{

// What one process tells the others about a target's notice.
struct TargetNoticeReport {
    TargetKey target = 0;
    TargetNotice notice;
};

inline constexpr Duration MaxReportedRest = std::chrono::hours(24);

std::string encode(const TargetNoticeReport &report);

// Decodes verified bytes. Errors: BadRequest, also for a rest that is longer than MaxReportedRest.
Result<TargetNoticeReport> decodeTargetNoticeReport(std::string_view bytes);

} // namespace mulberryplank
