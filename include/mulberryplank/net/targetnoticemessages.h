#pragma once

#include <string>
#include <string_view>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/targetkey.h"
#include "mulberryplank/policy/targetnotice.h"

namespace mulberryplank
{

// What one process tells the others about a target's notice.
struct TargetNoticeReport {
    TargetKey target = 0;
    TargetNotice notice;
};

std::string encode(const TargetNoticeReport &report);

// Decodes verified bytes. Errors: BadRequest, also for a rest that is longer than MaxTargetRest.
Result<TargetNoticeReport> decodeTargetNoticeReport(std::string_view bytes);

} // namespace mulberryplank
