#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/logpage.h"
#include "mulberryplank/policy/targetdirectory.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

// What a process that can't reach the store asks another for.
struct PeerNewsRequest {
    std::uint64_t version = 0; // of the configuration that it has
    Offset targetsNext = 0; // how far its list of targets goes
    bool wantsTargets = false;
};

// The answer.
struct PeerNews {
    std::string configuration; // as it stands in the store; empty: nothing newer
    bool hasTargets = false; // a list that is up to date follows
    Offset targetsNext = 0;
    std::vector<AnnouncedTarget> targets;
};

// What a process tells the others of an attempt that failed.
struct FailureReport {
    ServiceName service;
    TargetName target;
    AttemptResult result = AttemptResult::Reset;
};

std::string encode(const PeerNewsRequest &request);
std::string encode(const PeerNews &news);
std::string encode(const FailureReport &report);

// Decode verified bytes. Errors: BadRequest.
Result<PeerNewsRequest> decodePeerNewsRequest(std::string_view bytes);
Result<PeerNews> decodePeerNews(std::string_view bytes);
Result<FailureReport> decodeFailureReport(std::string_view bytes);

} // namespace mulberryplank
