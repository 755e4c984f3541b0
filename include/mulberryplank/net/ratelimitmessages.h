#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/ratelimitannouncer.h"

namespace mulberryplank
{

// The most reports in one datagram. Each takes 21 bytes.
inline constexpr std::size_t RateLimitReportsPerDatagram = 40;

std::string encode(const std::vector<RateLimitReport> &reports);

// Decodes verified bytes. Errors: BadRequest, also for a rate that is negative or not finite.
Result<std::vector<RateLimitReport>> decodeRateLimitReports(std::string_view bytes);

} // namespace mulberryplank
