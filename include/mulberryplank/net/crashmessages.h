#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/crashattribution.h"
#include "mulberryplank/policy/quarantine.h"

namespace mulberryplank
{

// What a process reports to others about requests that may crash targets.
struct CrashMessage {
    std::vector<CrashReport> crashes;
    std::vector<RequestFingerprint> cleared; // suspects that targets have run and survived
};

std::string encode(const CrashMessage &message);
std::string encode(const std::vector<QuarantinedRequest> &requests);

// Decode verified bytes. Errors: BadRequest.
Result<CrashMessage> decodeCrashMessage(std::string_view bytes);
Result<std::vector<QuarantinedRequest>> decodeQuarantinedRequests(std::string_view bytes);

} // namespace mulberryplank
